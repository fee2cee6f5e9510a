package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;

/**
 * Lease ends that were sent to one incarnation of a backend server, and what follows from them for this incarnation and
 * the next one under the same identifier.
 *
 * <p>The next incarnation carries out calls that were meant for this one. Its clock starts anew, so that a lease end on
 * this incarnation's clock lies far ahead there and is only limited by the maximum lease. All times are steady times, ns.
 */
final class LeaseGrants {
    /** Lowest rate of a server's clock: it may be 2 % slow, which makes a lease last longer by as much. */
    static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Time within which a call without an answer may still be carried out; the platform speaks of seconds. */
    static final Duration MAX_CALL_DELAY = Duration.ofSeconds(12);

    private final Duration maxRun;
    private long ownExpiryNanos;
    private long inheritedExpiryNanos = Long.MIN_VALUE;
    private Optional<Long> inFlightSentNanos = Optional.empty();
    private Optional<Long> unansweredSentNanos = Optional.empty();
    private Optional<UnattributedAnswer> unattributed = Optional.empty();
    private Optional<Long> fencedNanos = Optional.empty();

    /**
     * Answer to a start, which does not name the incarnation that gave it.
     *
     * @param steadyNanos steady time of its arrival, ns
     * @param holderNanos monotonic time of its arrival, which includes suspensions, ns
     */
    private record UnattributedAnswer(long steadyNanos, long holderNanos) {}

    private LeaseGrants(Duration maxRun) {
        this.maxRun = maxRun;
    }

    /** Creates the grants of an incarnation to which no lease end was sent. */
    static LeaseGrants none(Duration maxLease) {
        return new LeaseGrants(onSlowestClock(maxLease));
    }

    /** Returns the longest real time that a lease of the given length lasts on a server's clock. */
    static Duration onSlowestClock(Duration lease) {
        return Duration.ofNanos((long) Math.ceil(lease.toNanos() / SLOWEST_CLOCK_RATE));
    }

    /** Returns the longest time for which a run lasts after a lease that was taken now. */
    Duration maxRun() {
        return maxRun;
    }

    /** Returns the longest time for which a run lasts after a call that was sent now and is delayed. */
    Duration maxDelayedRun() {
        return MAX_CALL_DELAY.plus(maxRun);
    }

    /** Returns the time from which no run of this incarnation is in progress, unless its lease is extended. */
    long expiryNanos() {
        return Math.max(ownExpiryNanos, limitedInheritedExpiryNanos());
    }

    /** Returns the inherited expiry, where calls for earlier incarnations had an effect only until this one was fenced. */
    private long limitedInheritedExpiryNanos() {
        return fencedNanos
                .map(nanos -> Math.min(inheritedExpiryNanos, nanos + maxRun.toNanos()))
                .orElse(inheritedExpiryNanos);
    }

    /** Extends the lease expiry; an earlier time has no effect. */
    void extendExpiry(long nanos) {
        ownExpiryNanos = Math.max(ownExpiryNanos, nanos);
    }

    /** Records that runs may last until a time because of calls for an earlier incarnation. */
    void inherit(long expiryNanos) {
        inheritedExpiryNanos = Math.max(inheritedExpiryNanos, expiryNanos);
    }

    /** Returns the time for which a run may last because of calls for an earlier incarnation; zero for none. */
    Duration inheritedHold(long nowNanos) {
        long expiryNanos = limitedInheritedExpiryNanos();
        return expiryNanos > nowNanos ? Duration.ofNanos(expiryNanos - nowNanos) : Duration.ZERO;
    }

    /** Records that a renewal is sent which names a lease end; one such call at a time. */
    void renewalSent(long nowNanos) {
        inFlightSentNanos = Optional.of(nowNanos);
    }

    /** Records that the renewal was carried out or rejected, so that it will not be carried out later. */
    void renewalAnswered() {
        inFlightSentNanos = Optional.empty();
    }

    /** Records that the renewal, if it named a lease end, was not answered, so that it may still be carried out. */
    void renewalUnanswered() {
        inFlightSentNanos.ifPresent(this::startUnanswered);
        inFlightSentNanos = Optional.empty();
    }

    /** Records that a start sent at the given time was not answered, so that it may still be carried out. */
    void startUnanswered(long sentNanos) {
        unansweredSentNanos = Optional.of(Math.max(sentNanos, unansweredSentNanos.orElse(sentNanos)));
    }

    /** Records that a start was answered and its lease end taken, by this incarnation or the next one. */
    void startAnswered(long steadyNanos, long holderNanos) {
        unattributed = Optional.of(new UnattributedAnswer(steadyNanos, holderNanos));
    }

    /**
     * Records a report of this incarnation, which shows that it gave the earlier answers.
     *
     * @param sentHolderNanos monotonic time at which the report was asked for, ns
     */
    void reported(long sentHolderNanos) {
        if (unattributed
                .filter(answer -> answer.holderNanos() <= sentHolderNanos)
                .isPresent()) {
            unattributed = Optional.empty();
        }
    }

    /** Records that this incarnation has seen a higher fencing token than calls for earlier ones carry. */
    void fenced(long nowNanos) {
        if (fencedNanos.isEmpty()) {
            fencedNanos = Optional.of(nowNanos);
        }
    }

    /** Returns the time until which the next incarnation may hold runs because of calls for this or an earlier one. */
    Optional<Long> expiryOnNextNanos(long nowNanos) {
        long sentNanos = Math.max(inFlightSentNanos.orElse(Long.MIN_VALUE), unansweredSentNanos.orElse(Long.MIN_VALUE));
        long expiryNanos = inheritedExpiryNanos;
        if (sentNanos != Long.MIN_VALUE) {
            expiryNanos = Math.max(expiryNanos, sentNanos + maxDelayedRun().toNanos());
        }
        if (unattributed.isPresent()) {
            expiryNanos = Math.max(expiryNanos, unattributed.get().steadyNanos() + maxRun.toNanos());
        }
        return expiryNanos > nowNanos ? Optional.of(expiryNanos) : Optional.empty();
    }
}
