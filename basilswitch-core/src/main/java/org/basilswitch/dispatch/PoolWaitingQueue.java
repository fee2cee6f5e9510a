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
 * Waiting requests of one pool, bounded by queue.
 *
 * <p>When a queue is full, the team with the most waiting requests by weight loses its newest one, so that a burst of one
 * team takes no room from the others.
 */
final class PoolWaitingQueue {
    private final FairQueue<Request> fair = FairQueue.create();
    private final Map<String, Map<String, Integer>> countsByQueue = new HashMap<>();
    private final PoolShares shares;
    private final ToDoubleFunction<String> weightOf;

    PoolWaitingQueue(PoolShares shares, ToDoubleFunction<String> weightOf) {
        this.shares = shares;
        this.weightOf = weightOf;
    }

    FairQueue<Request> fair() {
        return fair;
    }

    int size() {
        return fair.size();
    }

    /** Returns the request that has to go to make room for another; empty when there is room. */
    Optional<Request> overflow(Request arriving) {
        Queue queue = arriving.queue();
        Map<String, Integer> counts = countsByQueue.getOrDefault(queue.name(), Map.of());
        int waiting = counts.values().stream().mapToInt(Integer::intValue).sum();
        if (waiting < queue.queuedLimitRequests()) {
            return Optional.empty();
        }
        String largest = arriving.team();
        double most = (counts.getOrDefault(largest, 0) + 1) / weightOf.applyAsDouble(largest);
        for (Map.Entry<String, Integer> team : counts.entrySet()) {
            double load = team.getValue() / weightOf.applyAsDouble(team.getKey());
            if (load > most) {
                most = load;
                largest = team.getKey();
            }
        }
        if (largest.equals(arriving.team())) {
            return Optional.of(arriving);
        }
        return fair.newestOf(largest, request -> request.queue().name().equals(queue.name()) && !request.mayHaveRun())
                .or(() -> Optional.of(arriving));
    }

    void add(Request request) {
        fair.add(request);
        count(request, 1);
        request.state(Request.State.WAITING);
    }

    void putBack(Request request) {
        fair.putBack(request);
        count(request, 1);
        request.state(Request.State.WAITING);
    }

    /** Notes that the fair queue has given out a request. */
    void taken(Request request) {
        count(request, -1);
    }

    boolean remove(Request request) {
        if (!fair.remove(request)) {
            return false;
        }
        count(request, -1);
        return true;
    }

    private void count(Request request, int change) {
        countsByQueue
                .computeIfAbsent(request.queue().name(), name -> new HashMap<>())
                .merge(request.team(), change, Integer::sum);
        shares.addWaiting(request.team(), change);
    }

    /** Expected wait of a request that would now be added. */
    Duration expectedWait(Request request) {
        int ahead = 0;
        for (RequestSpec.Priority priority : RequestSpec.Priority.values()) {
            if (priority.compareTo(request.priority()) <= 0) {
                ahead += fair.size(priority, request.team());
            }
        }
        return shares.expectedWait(request.team(), ahead);
    }
}
