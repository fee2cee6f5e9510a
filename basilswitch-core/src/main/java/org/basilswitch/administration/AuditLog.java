package org.basilswitch.administration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;

/** Reads audit records, newest first. Their keys are grouped by hour, so that a read covers only the hours it needs. */
public final class AuditLog {
    private static final long HOUR_MS = Duration.ofHours(1).toMillis();

    private final StoreKeys keys;
    private final PlatformStore store;
    private final Clock clock;

    private AuditLog(StoreKeys keys, PlatformStore store, Clock clock) {
        this.keys = keys;
        this.store = store;
        this.clock = clock;
    }

    /** Creates a reader of a site's audit records. */
    public static AuditLog create(StoreKeys keys, PlatformStore store, Clock clock) {
        return new AuditLog(keys, store, clock);
    }

    /**
     * Reads the newest records.
     *
     * @param limit maximum number of records to return
     * @param hours maximum number of hours to look back; each costs one read of the store
     * @param key record whose changes are returned; empty for the changes of all records
     */
    public CompletionStage<Either<StoreError, List<AuditRecord>>> readNewest(
            int limit, int hours, Optional<RecordKey> key) {
        return read(new Query(limit, key, new ArrayList<>()), clock.millis(), hours);
    }

    private CompletionStage<Either<StoreError, List<AuditRecord>>> read(Query query, long atMs, int hours) {
        if (hours == 0 || query.found.size() >= query.limit) {
            int end = Math.min(query.limit, query.found.size());
            return CompletableFuture.completedFuture(Either.right(List.copyOf(query.found.subList(0, end))));
        }
        return store.range(ChangeTransaction.auditHourPrefix(keys, atMs))
                .thenCompose(result ->
                        result.fold(error -> CompletableFuture.completedFuture(Either.left(error)), range -> {
                            query.addMatching(range);
                            return read(query, atMs - HOUR_MS, hours - 1);
                        }));
    }

    private record Query(int limit, Optional<RecordKey> key, List<AuditRecord> found) {
        private void addMatching(PlatformStore.Range range) {
            range.entries().reversed().stream()
                    .flatMap(entry -> RecordCodec.decode(entry.value(), AuditRecord.class).stream())
                    .filter(this::matches)
                    .forEach(found::add);
        }

        private boolean matches(AuditRecord record) {
            return key.isEmpty() || key.get().equals(new RecordKey(record.kind(), record.name()));
        }
    }
}
