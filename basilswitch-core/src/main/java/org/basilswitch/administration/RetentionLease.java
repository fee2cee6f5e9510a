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
 * Store leases that delete records after a retention time; one lease serves many records.
 *
 * <p>A lease is used for an eighth of the retention time and granted for nine eighths, so that every record lives for
 * at least the retention time.
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

    /** A lease to attach a record to now. */
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

    /** Forgets the lease, because the store no longer knows it. */
    void invalidate() {
        leaseId = OptionalLong.empty();
    }
}
