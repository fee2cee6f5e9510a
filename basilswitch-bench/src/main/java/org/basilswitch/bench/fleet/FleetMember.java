package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.FleetContext;
import org.basilswitch.fleet.FleetOptions;
import org.basilswitch.fleet.PoolController;
import org.basilswitch.fleet.PoolDemand;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.SimulatedTime;

/** A simulated entry host with its view of the configuration and its controller of each pool. */
final class FleetMember {
    private static final Duration CANDIDACY_STAGGER = Duration.ofMillis(700);

    private final PausableTime time;
    private final MemoryStoreClient client;
    private final ConfigurationFollower follower;
    private final List<PoolController> controllers = new ArrayList<>();

    FleetMember(
            int index,
            MemberId id,
            SimulatedTime virtualTime,
            MemoryStore store,
            StoreKeys keys,
            SimulatedHosts workers,
            UniformRandomProvider random,
            FleetOptions options,
            List<String> pools,
            PoolDemand demand,
            SimulatedFleetSpec spec,
            RevisionTimes revisions) {
        time = new PausableTime(virtualTime);
        client = MemoryStoreClient.create(store, time, random);
        client.setLostAnswerRatio(spec.lostAnswerRatio());
        follower = ConfigurationFollower.create(keys, client, time, Telemetry.none());
        FleetContext context = new FleetContext(
                options,
                keys,
                time,
                time,
                client,
                workers.platformFor(time),
                revision -> revisions.isOlderThan(revision, spec.inForceDelay()),
                follower::current,
                Telemetry.none());
        follower.start();
        for (int i = 0; i < pools.size(); i++) {
            PoolController controller = PoolController.create(context, pools.get(i), id, demand);
            int rank = Math.floorMod(index - i, spec.members());
            controller.start(CANDIDACY_STAGGER.multipliedBy(rank));
            controllers.add(controller);
        }
    }

    boolean leadsAnyPool() {
        return controllers.stream().anyMatch(PoolController::isLeader);
    }

    long storeCalls() {
        return client.calls();
    }

    PausableTime time() {
        return time;
    }
}
