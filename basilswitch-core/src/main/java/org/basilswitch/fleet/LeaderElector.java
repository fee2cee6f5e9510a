package org.basilswitch.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Elects a leader, such as a pool's controller, by a key attached to a lease in the store.
 *
 * <p>The revision at which the key was last written is the fencing token. Transactions compare it, so that a leader that was
 * paused past the end of its lease, or replaced by {@link #acquireFrom}, can't write.
 */
public final class LeaderElector implements AutoCloseable {
    /** Polls per attempt to become leader: one attempt per lease time. */
    private static final int POLLS_PER_ATTEMPT = 3;
    /** Time by which the answer to a renewal may be later than its timer; the store answers in milliseconds. */
    private static final Duration RENEWAL_TOLERANCE = Duration.ofMillis(60);

    private final String key;
    private final MemberId self;
    private final Clock clock;
    private final Scheduler scheduler;
    private final PlatformStore store;
    private final Telemetry telemetry;
    private final Duration leaseTime;
    private final Duration pollInterval;
    private final Duration candidacyDelay;
    private Optional<Long> leaseId = Optional.empty();
    private long fencingToken;
    private long leaderUntilNanos = Long.MIN_VALUE;
    private boolean closed;
    private boolean requesting;
    private long polls;
    private boolean replacedLeader;
    private boolean renewing;
    private Runnable listener = () -> {};

    private LeaderElector(
            String key,
            MemberId self,
            Clock clock,
            Scheduler scheduler,
            PlatformStore store,
            Telemetry telemetry,
            Duration leaseTime,
            Duration candidacyDelay) {
        this.key = key;
        this.self = self;
        this.clock = clock;
        this.scheduler = scheduler;
        this.store = store;
        this.telemetry = telemetry;
        this.leaseTime = leaseTime;
        this.pollInterval = leaseTime.dividedBy(3);
        this.candidacyDelay = candidacyDelay;
    }

    /**
     * Creates an elector that campaigns once started.
     *
     * @param candidacyDelay time from finding the leadership vacant to the attempt to acquire it, by which preferred
     *     members come first
     */
    public static LeaderElector create(
            String key,
            MemberId self,
            Clock clock,
            Scheduler scheduler,
            PlatformStore store,
            Telemetry telemetry,
            Duration leaseTime,
            Duration candidacyDelay) {
        return new LeaderElector(key, self, clock, scheduler, store, telemetry, leaseTime, candidacyDelay);
    }

    /** Starts campaigning after a delay, which is longer for less preferred members. */
    public void start(Duration delay) {
        scheduler.schedule(delay, this::poll);
    }

    /** Returns whether this host is the leader now, by its monotonic clock. */
    public boolean isLeader() {
        return fencingToken != 0 && clock.monotonicNanos() < leaderUntilNanos;
    }

    /** Returns whether the lease lasts at least {@code margin} from now, by this host's monotonic clock. */
    public boolean isLeaderFor(Duration margin) {
        return fencingToken != 0 && clock.monotonicNanos() + margin.toNanos() < leaderUntilNanos;
    }

    /** Campaigns at once instead of at the next poll; to be called when the leadership is observed vacant. */
    public void campaignNow() {
        if (!closed && fencingToken == 0 && leaseId.isEmpty() && !requesting) {
            requestLeadership(candidacyDelay);
        }
    }

    /**
     * Takes over the leadership from a leader that has stopped acting and asked for it. Has no effect if the leadership has
     * changed hands since.
     *
     * @param previousFencingToken fencing token of that leader
     */
    public void acquireFrom(long previousFencingToken) {
        if (!closed && fencingToken == 0 && leaseId.isEmpty() && !requesting) {
            grantLease(previousFencingToken);
        }
    }

    /** Returns whether the leadership was acquired by {@link #acquireFrom}, so that an earlier lease may still run. */
    public boolean replacedLeader() {
        return replacedLeader;
    }

    /**
     * Renews the leadership now if the next renewal is overdue, such as after a suspension, which delays timers by its
     * length.
     */
    public void renewIfOverdue() {
        if (!renewing && unconfirmedFor().compareTo(pollInterval.plus(RENEWAL_TOLERANCE)) > 0) {
            renew();
        }
    }

    /** Returns the time since the store confirmed the leadership; zero while this host is not the leader. */
    public Duration unconfirmedFor() {
        return fencingToken == 0
                ? Duration.ZERO
                : Duration.ofNanos(clock.monotonicNanos() - leaderUntilNanos).plus(leaseTime);
    }

    /** Sets the action that runs each time this host acquires or loses the leadership. */
    public void onChange(Runnable action) {
        listener = action;
    }

    /** Gives up the leadership because another leader was observed; campaigns again at a later poll. */
    public void stepDown(String reason) {
        Optional<Long> id = leaseId;
        abandon(reason);
        id.ifPresent(store::revokeLease);
    }

    /**
     * Gives up the leadership without freeing its record, for another host that replaces the record; otherwise it is free
     * when the lease ends.
     */
    public void abandon(String reason) {
        loseLeadership(reason);
    }

    /** Returns the leadership key, whose modification revision transactions compare with {@link #fencingToken}. */
    public String key() {
        return key;
    }

    /** Returns the fencing token; valid only while {@link #isLeader}, and 0 after the leadership is lost. */
    public long fencingToken() {
        return fencingToken;
    }

    private void poll() {
        if (closed) {
            return;
        }
        if (fencingToken != 0) {
            renew();
        } else if (!requesting && polls++ % POLLS_PER_ATTEMPT == 0) {
            requestLeadership(candidacyDelay);
        }
        scheduler.schedule(pollInterval, this::poll);
    }

    /** Acquires the leadership if it is vacant now and after the delay. */
    private void requestLeadership(Duration delay) {
        requesting = true;
        Completions.thenAcceptOrLog(
                () -> store.get(key),
                telemetry,
                "duty",
                result -> {
                    requesting = false;
                    boolean vacant = result.isRight() && result.get().isEmpty();
                    if (!vacant || closed || leaseId.isPresent()) {
                        return;
                    }
                    if (delay.isZero()) {
                        grantLease(Transaction.ABSENT);
                    } else {
                        requesting = true;
                        scheduler.schedule(delay, () -> requestLeadership(Duration.ZERO));
                    }
                },
                () -> requesting = false);
    }

    /** Acquires the leadership if its record has the expected revision. */
    private void grantLease(long expectedRevision) {
        requesting = true;
        long requestedAtNanos = clock.monotonicNanos();
        Completions.thenAcceptOrLog(
                () -> store.grantLease(leaseTime),
                telemetry,
                "leadership lease",
                result -> {
                    requesting = false;
                    result.peek(id -> {
                        leaseId = Optional.of(id);
                        acquire(expectedRevision, id, requestedAtNanos);
                    });
                },
                () -> requesting = false);
    }

    private void acquire(long expectedRevision, long id, long requestedAtNanos) {
        Transaction transaction = Transaction.builder()
                .compare(key, expectedRevision)
                .put(key, self.value().getBytes(StandardCharsets.UTF_8), id)
                .build();
        requesting = true;
        Completions.thenAcceptOrLog(
                () -> store.commit(transaction),
                telemetry,
                "duty",
                result -> {
                    requesting = false;
                    replacedLeader = expectedRevision != Transaction.ABSENT;
                    onAcquireResult(result, id, requestedAtNanos);
                },
                () -> {
                    requesting = false;
                    // The listener may have failed after the leadership was acquired; it is then kept.
                    if (fencingToken == 0) {
                        releaseLease(id);
                    }
                });
    }

    private void onAcquireResult(Either<StoreError, CommitResult> result, long id, long requestedAtNanos) {
        if (closed) {
            store.revokeLease(id);
            return;
        }
        if (result.isRight() && result.get() instanceof CommitResult.Committed committed) {
            fencingToken = committed.revision();
            leaderUntilNanos = requestedAtNanos + leaseTime.toNanos();
            telemetry.event(EventCode.DUTY_ACQUIRED, "duty=" + key + " fence=" + fencingToken);
            listener.run();
            return;
        }
        // If only the answer was lost, the key is attached to this lease; revoking it frees the key for the next
        // attempt.
        releaseLease(id);
    }

    private void releaseLease(long id) {
        leaseId = Optional.empty();
        store.revokeLease(id);
    }

    private void renew() {
        long requestedAtNanos = clock.monotonicNanos();
        long id = leaseId.orElseThrow();
        renewing = true;
        Completions.thenAcceptOrLog(
                () -> store.keepAlive(id),
                telemetry,
                "leadership lease",
                result -> {
                    renewing = false;
                    // The answer may be for a leadership that this host has lost and acquired again since.
                    if (leaseId.filter(current -> current == id).isPresent()) {
                        result.peek(ok -> leaderUntilNanos = requestedAtNanos + leaseTime.toNanos())
                                .peekLeft(this::onRenewFailed);
                    }
                },
                () -> renewing = false);
    }

    private void onRenewFailed(StoreError error) {
        if (error instanceof StoreError.Refused refused && refused.reason() == StoreError.Reason.LEASE_LAPSED) {
            loseLeadership("lapsed");
        }
    }

    private void loseLeadership(String reason) {
        if (fencingToken != 0) {
            telemetry.event(EventCode.DUTY_LOST, "duty=" + key + " reason=" + reason);
        }
        boolean wasLeader = fencingToken != 0;
        fencingToken = 0;
        leaseId = Optional.empty();
        if (wasLeader) {
            listener.run();
        }
    }

    @Override
    public void close() {
        closed = true;
        Optional<Long> id = leaseId;
        loseLeadership("closed");
        id.ifPresent(store::revokeLease);
    }
}
