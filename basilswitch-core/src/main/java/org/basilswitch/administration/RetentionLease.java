package org.basilswitch.administration;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.time.Clock;

/**
 * Provides store leases that delete records after a retention time. One lease is shared by many records.
 *
 * <p>Records are attached to a lease during one eighth of the retention time, and the lease is granted for nine eighths
 * of it, so that every record is kept for at least the retention time.
 */
final class RetentionLease {
    private static final int LEASES_PER_RETENTION = 8;

    private final PlatformStore store;
    private final Clock clock;
    private final Duration retention;
    private OptionalLong leaseId = OptionalLong.empty();
    private long useUntilNanos;

    private RetentionLease(PlatformStore store, Clock clock, Duration retention) {
        this.store = store;
        this.clock = clock;
        this.retention = retention;
    }

    static RetentionLease create(PlatformStore store, Clock clock, Duration retention) {
        return new RetentionLease(store, clock, retention);
    }

    /** Returns the id of the lease to attach new records to; grants a new lease when necessary. */
    CompletionStage<Either<StoreError, Long>> current() {
        long startNanos = clock.monotonicNanos();
        if (leaseId.isPresent() && startNanos < useUntilNanos) {
            return CompletableFuture.completedFuture(Either.right(leaseId.getAsLong()));
        }
        Duration usePeriod = retention.dividedBy(LEASES_PER_RETENTION);
        return store.grantLease(retention.plus(usePeriod))
                .thenApply(result -> result.peek(id -> {
                    leaseId = OptionalLong.of(id);
                    useUntilNanos = startNanos + usePeriod.toNanos();
                }));
    }

    /** Discards the lease, which may have expired in the store; the next record gets a new one. */
    void invalidate() {
        leaseId = OptionalLong.empty();
    }
}
