package org.basilswitch.daemon.telemetry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.vavr.control.Either;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;

/** Delegates to a store and measures its calls: their number by kind and result, their duration by kind. */
public final class MeteredStore implements PlatformStore {
    private final PlatformStore store;
    private final MeterRegistry registry;
    private final Clock clock;
    private final Map<String, Counter> counters = new HashMap<>();
    private final Map<String, Timer> timers = new HashMap<>();

    private MeteredStore(PlatformStore store, MeterRegistry registry, Clock clock) {
        this.store = store;
        this.registry = registry;
        this.clock = clock;
    }

    /** Creates a store that delegates to the given one. */
    public static MeteredStore create(PlatformStore store, MeterRegistry registry, Clock clock) {
        return new MeteredStore(store, registry, clock);
    }

    private <T> CompletionStage<Either<StoreError, T>> measure(
            String kind, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        long startNanos = clock.monotonicNanos();
        return call.get().whenComplete((answer, thrown) -> {
            String result = answer == null ? "failed" : resultTag(answer);
            count(kind, result);
            timers.computeIfAbsent(kind, this::timer).record(clock.monotonicNanos() - startNanos, TimeUnit.NANOSECONDS);
        });
    }

    private static String resultTag(Either<StoreError, ?> answer) {
        if (answer.isRight()) {
            return answer.get() instanceof CommitResult.Conflict ? "conflict" : "ok";
        }
        return switch (answer.getLeft()) {
            case StoreError.Refused refused -> "refused-" + reasonTag(refused.reason());
            case StoreError.Unknown unknown -> "unknown-" + reasonTag(unknown.reason());
        };
    }

    private static String reasonTag(StoreError.Reason reason) {
        return reason.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    private void count(String kind, String result) {
        counters.computeIfAbsent(
                        kind + " " + result,
                        key -> Counter.builder(DaemonMeter.STORE_CALLS.metric())
                                .tag("kind", kind)
                                .tag("result", result)
                                .register(registry))
                .increment();
    }

    private Timer timer(String kind) {
        return Timer.builder(DaemonMeter.STORE_DURATION.metric())
                .tag("kind", kind)
                .serviceLevelObjectives(LatencyBuckets.upperBounds())
                .register(registry);
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<Entry>>> get(String key) {
        return measure("get", () -> store.get(key));
    }

    @Override
    public CompletionStage<Either<StoreError, Range>> range(String prefix) {
        return measure("range", () -> store.range(prefix));
    }

    @Override
    public CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction) {
        return measure("commit", () -> store.commit(transaction));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive) {
        return measure("grant-lease", () -> store.grantLease(timeToLive));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId) {
        return measure("keep-alive", () -> store.keepAlive(leaseId));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId) {
        return measure("revoke-lease", () -> store.revokeLease(leaseId));
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
        count("watch", "opened");
        return store.watch(prefix, fromRevision, new CountingListener(listener));
    }

    private final class CountingListener implements WatchListener {
        private final WatchListener listener;

        private CountingListener(WatchListener listener) {
            this.listener = listener;
        }

        @Override
        public void onChanges(long revision, List<Change> changes) {
            count("watch", "changes");
            listener.onChanges(revision, changes);
        }

        @Override
        public void onCompacted(long compactRevision) {
            count("watch", "compacted");
            listener.onCompacted(compactRevision);
        }
    }
}
