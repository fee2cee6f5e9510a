package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.HostChange;
import org.basilswitch.fleet.HostChanger;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.SimulatedTime;

/**
 * Simulated operator who drains random hosts while waves run and returns each to service after two seconds. Its view
 * of the configuration is delayed, so that its changes conflict with those of the controllers.
 */
final class RacingOperator {
    private static final Duration OUT_OF_SERVICE_TIME = Duration.ofSeconds(2);

    private static final Duration VIEW_DELAY = Duration.ofMillis(60);

    private final SimulatedTime time;
    private final UniformRandomProvider random;
    private final ConfigurationFollower follower;
    private final HostChanger changer;
    private final Duration interval;

    private RacingOperator(
            SimulatedTime time,
            MemoryStore store,
            StoreKeys keys,
            UniformRandomProvider random,
            SimulatedFleetSpec spec) {
        MemoryStoreClient client = MemoryStoreClient.create(store, time, random);
        MemoryStoreClient lagging = MemoryStoreClient.create(store, time, random);
        lagging.setOneWayDelay(VIEW_DELAY);
        this.time = time;
        this.random = random;
        this.interval = spec.operatorInterval();
        this.follower = ConfigurationFollower.create(keys, lagging, time, Telemetry.none());
        this.changer = HostChanger.create(keys, client, follower::current);
    }

    static void start(
            SimulatedTime time,
            MemoryStore store,
            StoreKeys keys,
            UniformRandomProvider random,
            SimulatedFleetSpec spec) {
        RacingOperator operator = new RacingOperator(time, store, keys, random, spec);
        operator.follower.start();
        time.schedule(operator.interval, operator::drainRandomHost);
    }

    private void drainRandomHost() {
        List<Host> active = follower.current().hosts().values().stream()
                .filter(host -> host.state() == HostState.ACTIVE)
                .toList();
        if (!active.isEmpty()) {
            String name = active.get(random.nextInt(active.size())).name();
            changer.apply(new HostChange.Transition(name, HostState.DRAINING))
                    .thenAccept(result -> result.peek(revision -> scheduleReturn(name)));
        }
        time.schedule(interval, this::drainRandomHost);
    }

    private void scheduleReturn(String name) {
        time.schedule(
                OUT_OF_SERVICE_TIME,
                () -> changer.apply(new HostChange.Transition(name, HostState.ACTIVE))
                        .thenAccept(result -> result.peekLeft(error -> scheduleReturn(name))));
    }
}
