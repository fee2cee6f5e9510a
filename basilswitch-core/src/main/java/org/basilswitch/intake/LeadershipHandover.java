package org.basilswitch.intake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.fleet.LeaderElector;
import org.basilswitch.time.Clock;

/**
 * Hands over the scheduler's leadership when the store refuses or does not answer the leader but answers another entry
 * host, instead of waiting for the lease to run out.
 *
 * <p>The leader stops acting before it asks the other host, and does not act again with its fencing token. The other host
 * replaces the leadership record on condition that it still has that token's revision, so that a late or repeated message
 * has no effect. A lost message costs no more than the rest of the lease.
 */
final class LeadershipHandover implements AutoCloseable {
    /** Interval between checks of the leader's own leadership. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /**
     * Time without a confirmation after which other hosts are asked. Longer than the interval between renewals, a third of
     * the lease of 2 s, and shorter than the lease by the time that a handover takes.
     */
    private static final Duration UNCONFIRMED_BEFORE_HANDOVER = Duration.ofMillis(900);

    /** Lateness of a check above which this host is paused or overloaded, so that answers wait here and not at the store. */
    private static final Duration MAX_CHECK_LATENESS = Duration.ofMillis(50);
    /** Number of timely checks in a row before other hosts are asked, in which a renewal is sent and answered. */
    private static final int MIN_TIMELY_CHECKS = 3;

    /** Remaining leadership below which a handover gains nothing. */
    private static final Duration MIN_REMAINING_LEASE = Duration.ofMillis(200);
    /** Time within which another host has to have read the record; a store that is slow for all gains nothing. */
    private static final Duration MAX_ANSWER_TIME = Duration.ofMillis(150);
    /** Number of hosts that are asked at a time. */
    private static final int MAX_ASKED = 4;
    /** Number of hosts that are remembered. */
    private static final int MAX_CANDIDATES = 16;

    private final JobNode.Dependencies dependencies;
    private final Clock clock;
    private final LeaderElector leaderElector;
    private final Runnable stopScheduling;
    private final Consumer<String> handedOverListener;
    /** Hosts that may take over; the one that was heard last comes last. */
    private final Set<String> candidates = new LinkedHashSet<>();

    private long lastCheckNanos;
    private int timelyChecks;
    /** Time until which answers of the hosts that were asked count, ns. */
    private long askedUntilNanos = Long.MIN_VALUE;

    private boolean closed;

    /**
     * Creates a handover.
     *
     * @param onHandedOver called with the address of the host that takes over, after this host has stopped acting
     */
    LeadershipHandover(
            JobNode.Dependencies dependencies,
            Clock clock,
            LeaderElector leaderElector,
            Runnable stopScheduling,
            Consumer<String> onHandedOver) {
        this.dependencies = dependencies;
        this.clock = clock;
        this.leaderElector = leaderElector;
        this.stopScheduling = stopScheduling;
        this.handedOverListener = onHandedOver;
    }

    void start() {
        if (!closed) {
            long nowNanos = clock.monotonicNanos();
            Duration lateness = Duration.ofNanos(nowNanos - lastCheckNanos).minus(CHECK_INTERVAL);
            timelyChecks = lateness.compareTo(MAX_CHECK_LATENESS) <= 0 ? timelyChecks + 1 : 0;
            lastCheckNanos = nowNanos;
            dependencies.timers().schedule(CHECK_INTERVAL, this::start);
            check();
        }
    }

    /** Records that a host which may take over has sent a message. */
    void onCandidateSeen(String address) {
        if (address.equals(dependencies.address())) {
            return;
        }
        candidates.remove(address);
        candidates.add(address);
        if (candidates.size() > MAX_CANDIDATES) {
            candidates.remove(candidates.iterator().next());
        }
    }

    private void check() {
        leaderElector.renewIfOverdue();
        long nowNanos = clock.monotonicNanos();
        boolean asking = nowNanos < askedUntilNanos;
        if (!isUnconfirmed()
                || !leaderElector.isLeaderFor(MIN_REMAINING_LEASE)
                || timelyChecks < MIN_TIMELY_CHECKS
                || asking
                || candidates.isEmpty()) {
            return;
        }
        askedUntilNanos = nowNanos + MAX_ANSWER_TIME.toNanos();
        long answerByNanos = askedUntilNanos;
        long fencingToken = leaderElector.fencingToken();
        List<String> latest = new ArrayList<>(candidates);
        for (String host : latest.subList(Math.max(0, latest.size() - MAX_ASKED), latest.size())) {
            Completions.thenAcceptOrLog(
                    () -> dependencies.schedulerClient().canTakeOver(host, fencingToken),
                    dependencies.telemetry(),
                    "question whether a host can take over",
                    can -> {
                        if (can && clock.monotonicNanos() <= answerByNanos) {
                            handOver(host, fencingToken);
                        }
                    },
                    () -> {});
        }
    }

    private boolean isUnconfirmed() {
        return leaderElector.unconfirmedFor().compareTo(UNCONFIRMED_BEFORE_HANDOVER) > 0;
    }

    /** Stops acting and asks a host to take over, unless the leadership was confirmed or lost meanwhile. */
    private void handOver(String host, long fencingToken) {
        if (closed || leaderElector.fencingToken() != fencingToken || !isUnconfirmed()) {
            return;
        }
        stopScheduling.run();
        dependencies.telemetry().event(EventCode.LEADERSHIP_HANDED_OVER, "fence=" + fencingToken + " host=" + host);
        leaderElector.abandon("handed over to " + host);
        handedOverListener.accept(host);
        dependencies.schedulerClient().handOver(host, fencingToken);
    }

    /** Returns whether the store answers this host and names the leadership with this fencing token. */
    CompletionStage<Boolean> canTakeOver(long fencingToken) {
        return dependencies
                .store()
                .get(dependencies.keys().schedulerLeadership())
                .thenApply(result -> result.isRight()
                        && result.get()
                                .filter(entry -> entry.modRevision() == fencingToken)
                                .isPresent());
    }

    /** Takes over from a leader that has stopped acting. */
    void takeOver(long fencingToken) {
        leaderElector.acquireFrom(fencingToken);
    }

    @Override
    public void close() {
        closed = true;
    }
}
