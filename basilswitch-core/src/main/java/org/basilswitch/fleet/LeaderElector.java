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
 * Holds a duty, such as a pool's controller, while a lease in the store lives.
 *
 * <p>The revision at which the duty's key was created is the fencing number: transactions compare it, so that a
 * holder that was paused past its lease can't write.
 */
public final class LeaderElector implements AutoCloseable {
    /** Polls of which one asks for a duty that is not held, so that it is asked for once in a lease time. */
    private static final int POLLS_PER_ATTEMPT = 3;

    private final String key;
    private final MemberId self;
    private final Clock clock;
    private final Scheduler scheduler;
    private final PlatformStore store;
    private final Telemetry telemetry;
    private final Duration leaseTime;
    private final Duration pollInterval;
    private Optional<Long> leaseId = Optional.empty();
    private long fencingToken;
    private long leaderUntilNanos = Long.MIN_VALUE;
    private boolean closed;
    private boolean requesting;
    private long polls;
    private Runnable listener = () -> {};

    private LeaderElector(
            String key,
            MemberId self,
            Clock clock,
            Scheduler scheduler,
            PlatformStore store,
            Telemetry telemetry,
            Duration leaseTime) {
        this.key = key;
        this.self = self;
        this.clock = clock;
        this.scheduler = scheduler;
        this.store = store;
        this.telemetry = telemetry;
        this.leaseTime = leaseTime;
        this.pollInterval = leaseTime.dividedBy(3);
    }

    /** Creates a holder that competes for a duty once started. */
    public static LeaderElector create(
            String key,
            MemberId self,
            Clock clock,
            Scheduler scheduler,
            PlatformStore store,
            Telemetry telemetry,
            Duration leaseTime) {
        return new LeaderElector(key, self, clock, scheduler, store, telemetry, leaseTime);
    }

    /** Starts competing after a delay, by which preferred members come first. */
    public void start(Duration delay) {
        scheduler.schedule(delay, this::poll);
    }

    /** Whether the duty is held now, by this host's monotonic clock. */
    public boolean isLeader() {
        return fencingToken != 0 && clock.monotonicNanos() < leaderUntilNanos;
    }

    /** Whether the duty is held for some time from now, by this host's monotonic clock. */
    public boolean isLeaderFor(Duration margin) {
        return fencingToken != 0 && clock.monotonicNanos() + margin.toNanos() < leaderUntilNanos;
    }

    /** Competes at once instead of at the next poll; to be called when the duty is seen vacant. */
    public void campaignNow() {
        if (!closed && fencingToken == 0 && leaseId.isEmpty() && !requesting) {
            requestLeadership();
        }
    }

    /** Told each time when the duty is acquired or lost. */
    public void onChange(Runnable action) {
        listener = action;
    }

    /** Gives the duty up because another holder was seen; competes again at the next poll. */
    public void stepDown(String reason) {
        Optional<Long> id = leaseId;
        loseLeadership(reason);
        id.ifPresent(store::revokeLease);
    }

    /** Key whose modification revision {@link #fence} transactions compare. */
    public String key() {
        return key;
    }

    /** The fencing number; meaningful while {@link #held}. */
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
            requestLeadership();
        }
        scheduler.schedule(pollInterval, this::poll);
    }

    private void requestLeadership() {
        requesting = true;
        Completions.then(store.get(key), telemetry, "duty", result -> {
            requesting = false;
            result.peek(entry -> {
                if (entry.isEmpty() && !closed && leaseId.isEmpty()) {
                    grantLease();
                }
            });
        });
    }

    private void grantLease() {
        requesting = true;
        long requestedAtNanos = clock.monotonicNanos();
        Completions.then(store.grantLease(leaseTime), telemetry, "lease of a duty", result -> {
            requesting = false;
            result.peek(id -> {
                leaseId = Optional.of(id);
                acquire(id, requestedAtNanos);
            });
        });
    }

    private void acquire(long id, long requestedAtNanos) {
        Transaction transaction = Transaction.builder()
                .compare(key, Transaction.ABSENT)
                .put(key, self.value().getBytes(StandardCharsets.UTF_8), id)
                .build();
        requesting = true;
        Completions.then(store.commit(transaction), telemetry, "duty", result -> {
            requesting = false;
            onAcquireResult(result, id, requestedAtNanos);
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
        // A lost answer leaves the key attached to this lease; revoking frees it for the next attempt.
        leaseId = Optional.empty();
        store.revokeLease(id);
    }

    private void renew() {
        long requestedAtNanos = clock.monotonicNanos();
        long id = leaseId.orElseThrow();
        store.keepAlive(id)
                .thenAccept(result -> result.peek(ok -> {
                            if (fencingToken != 0) {
                                leaderUntilNanos = requestedAtNanos + leaseTime.toNanos();
                            }
                        })
                        .peekLeft(this::onRenewFailed));
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
