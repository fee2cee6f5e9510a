package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.basilswitch.admission.FairQueue;
import org.basilswitch.admission.PoolShares;
import org.basilswitch.configuration.Queue;

/**
 * Waiting requests of one pool, bounded per queue.
 *
 * <p>When a queue is full, the newest request of the team with the most waiting requests relative to its weight is
 * evicted, so that a burst from one team does not displace the requests of other teams.
 */
final class PoolWaitingQueue {
    private final FairQueue<Request> fairQueue = FairQueue.create();
    private final Map<String, Map<String, Integer>> countsByQueue = new HashMap<>();
    private final PoolShares shares;
    private final ToDoubleFunction<String> weightOf;

    PoolWaitingQueue(PoolShares shares, ToDoubleFunction<String> weightOf) {
        this.shares = shares;
        this.weightOf = weightOf;
    }

    FairQueue<Request> fairQueue() {
        return fairQueue;
    }

    int size() {
        return fairQueue.size();
    }

    /**
     * Returns the request to evict before another is added, which may be the arriving one; empty when its queue is not
     * full.
     */
    Optional<Request> selectForEviction(Request arriving) {
        Queue queue = arriving.queue();
        Map<String, Integer> counts = countsByQueue.getOrDefault(queue.name(), Map.of());
        int waiting = counts.values().stream().mapToInt(Integer::intValue).sum();
        if (waiting < queue.queuedLimitRequests()) {
            return Optional.empty();
        }
        String largestTeam = arriving.team();
        double highestLoad = (counts.getOrDefault(largestTeam, 0) + 1) / weightOf.applyAsDouble(largestTeam);
        for (Map.Entry<String, Integer> team : counts.entrySet()) {
            double load = team.getValue() / weightOf.applyAsDouble(team.getKey());
            if (load > highestLoad) {
                highestLoad = load;
                largestTeam = team.getKey();
            }
        }
        if (largestTeam.equals(arriving.team())) {
            return Optional.of(arriving);
        }
        return fairQueue
                .findNewest(
                        largestTeam, request -> request.queue().name().equals(queue.name()) && !request.mayHaveRun())
                .or(() -> Optional.of(arriving));
    }

    void add(Request request) {
        fairQueue.add(request);
        addToCounts(request, 1);
        request.setState(Request.State.WAITING);
    }

    void addFirst(Request request) {
        fairQueue.addFirst(request);
        addToCounts(request, 1);
        request.setState(Request.State.WAITING);
    }

    /** Updates the counts after the fair queue has handed out a request. */
    void onTaken(Request request) {
        addToCounts(request, -1);
    }

    boolean remove(Request request) {
        if (!fairQueue.remove(request)) {
            return false;
        }
        addToCounts(request, -1);
        return true;
    }

    private void addToCounts(Request request, int change) {
        countsByQueue
                .computeIfAbsent(request.queue().name(), name -> new HashMap<>())
                .merge(request.team(), change, Integer::sum);
        shares.addWaiting(request.team(), change);
    }

    /** Returns the expected wait of a request if it were added now. */
    Duration expectedWait(Request request) {
        int ahead = 0;
        for (RequestSpec.Priority priority : RequestSpec.Priority.values()) {
            if (priority.compareTo(request.priority()) <= 0) {
                ahead += fairQueue.size(priority, request.team());
            }
        }
        return shares.expectedWait(request.team(), ahead);
    }
}
