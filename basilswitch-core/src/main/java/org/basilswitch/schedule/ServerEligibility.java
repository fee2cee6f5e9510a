package org.basilswitch.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.basilswitch.overload.PoolRoom;

/** Tells which backend servers may get new work, and how much room their pools have. */
final class ServerEligibility {
    /** Time over which the largest room of a pool counts. */
    private static final Duration ROOM_WINDOW = Duration.ofSeconds(4);

    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final HostOperations hostOperations;
    private final Map<String, SlidingMaximum> recentCores = new HashMap<>();

    ServerEligibility(SchedulerContext context, RunRegistry runRegistry, HostOperations hostOperations) {
        this.context = context;
        this.runRegistry = runRegistry;
        this.hostOperations = hostOperations;
    }

    /** Returns the processors of each pool's usable servers that are not used by long-running work, in cores. */
    Map<String, Double> usableCores(long nowNanos) {
        Map<String, Double> cores = new HashMap<>();
        for (TrackedServer server : runRegistry.servers()) {
            if (isUsable(server, nowNanos)) {
                long longRunning = server.longRunningCpuMillis();
                long capacity = server.listing().orElseThrow().capacity().cpuMillis();
                cores.merge(server.listing().get().pool(), (capacity - longRunning) / 1000.0, Double::sum);
            }
        }
        return cores;
    }

    /**
     * Returns the room of each pool, with the hosts that are on their way to it. Its cores are the most of the last
     * seconds, as servers that miss a report are soon back.
     */
    Map<String, PoolRoom> rooms(long nowNanos) {
        Map<String, PoolRoom> rooms = new HashMap<>();
        for (TrackedServer server : runRegistry.servers()) {
            if (isUsable(server, nowNanos)) {
                BackendServer listing = server.listing().orElseThrow();
                double capacity = listing.capacity().cpuMillis() / 1000.0;
                PoolRoom room = new PoolRoom(
                        capacity - server.longRunningCpuMillis() / 1000.0,
                        Math.max(0, capacity - server.used().cpuMillis() / 1000.0),
                        0);
                rooms.merge(listing.pool(), room, PoolRoom::plus);
            }
        }
        hostOperations
                .arrivingCores()
                .forEach((pool, cores) -> rooms.merge(pool, new PoolRoom(0, 0, cores), PoolRoom::plus));
        rooms.replaceAll((pool, room) -> {
            SlidingMaximum recent = recentCores.computeIfAbsent(pool, name -> new SlidingMaximum(ROOM_WINDOW));
            recent.add(room.cores(), nowNanos);
            return new PoolRoom(recent.maximum(nowNanos), room.freeCores(), room.arrivingCores());
        });
        return rooms;
    }

    /** Returns whether runs of a server that is lost would be waited for longer than their lease. */
    boolean holdsRunsLonger(TrackedServer server) {
        long nowNanos = context.steadyClock().monotonicNanos();
        return server.leaseGrants()
                        .inheritedHold(nowNanos)
                        .compareTo(context.options().lease())
                > 0;
    }

    /** Returns whether new work may be placed on a server. */
    boolean isUsable(TrackedServer server, long nowNanos) {
        return server.listing()
                        .filter(listing ->
                                !listing.draining() && !context.evacuations().isEvacuated(listing.zone()))
                        .isPresent()
                && !server.isEnded()
                && server.answeredWithin(TrackedServer.MAX_ANSWER_AGE, nowNanos)
                && !server.isAvoided(nowNanos)
                && !server.isSlow(nowNanos)
                && !server.isFailing(nowNanos)
                && !hostOperations.isClosedToNewWork(server.incarnation().serverId());
    }
}
