package org.basilswitch.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/**
 * Applies changes of hosts to the store with optimistic concurrency control.
 *
 * <p>A change reads the guard record of the host's pool and the record of the host, validates the change against a
 * configuration at least as new as the guard, and commits only when neither record has been rewritten since. As every
 * change of a host rewrites its pool's guard, the validated configuration is the state of the pool at the commit.
 */
public final class HostChanger {
    private static final String HOSTS = "hosts";

    private final StoreKeys keys;
    private final PlatformStore store;
    private final Supplier<SiteConfiguration> configuration;

    private HostChanger(StoreKeys keys, PlatformStore store, Supplier<SiteConfiguration> configuration) {
        this.keys = keys;
        this.store = store;
        this.configuration = configuration;
    }

    /** Creates a changer that validates changes against the current configuration. */
    public static HostChanger create(StoreKeys keys, PlatformStore store, Supplier<SiteConfiguration> configuration) {
        return new HostChanger(keys, store, configuration);
    }

    /** Applies a change; the right side is the store revision at which it took effect. */
    public CompletionStage<Either<HostChangeError, Long>> apply(HostChange change) {
        return apply(change, UnaryOperator.identity());
    }

    /**
     * Applies a change together with additional comparisons and writes.
     *
     * @param change requested change
     * @param additions adds comparisons, such as that of a leader's fencing token, and writes to the transaction
     * @return the store revision at which the change took effect, or the reason why it was not applied
     */
    public CompletionStage<Either<HostChangeError, Long>> apply(
            HostChange change, UnaryOperator<Transaction.Builder> additions) {
        Host expected = configuration.get().hosts().get(change.host());
        if (expected == null) {
            return failed(new HostChangeError.HostUnknown(change.host()));
        }
        String guardKey = keys.poolGuard(expected.pool());
        return store.get(guardKey)
                .thenCompose(guard -> guard.fold(
                        error -> failed(unavailable(error)),
                        entry -> readHost(change, expected, guardKey, entry, additions)));
    }

    private CompletionStage<Either<HostChangeError, Long>> readHost(
            HostChange change,
            Host expected,
            String guardKey,
            Optional<PlatformStore.Entry> guard,
            UnaryOperator<Transaction.Builder> additions) {
        long guardRevision = guard.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
        return store.get(keys.configuration(HOSTS, change.host()))
                .thenCompose(host -> host.fold(
                        error -> failed(unavailable(error)),
                        entry -> check(change, expected, guardKey, guardRevision, entry, additions)));
    }

    private CompletionStage<Either<HostChangeError, Long>> check(
            HostChange change,
            Host expected,
            String guardKey,
            long guardRevision,
            Optional<PlatformStore.Entry> entry,
            UnaryOperator<Transaction.Builder> additions) {
        SiteConfiguration view = configuration.get();
        if (view.revision() < guardRevision) {
            return failed(new HostChangeError.Contended(
                    "configuration at revision " + view.revision() + ", guard at revision " + guardRevision));
        }
        Optional<Host> host = entry.flatMap(e -> RecordCodec.decode(e.value(), Host.class));
        if (host.isEmpty()) {
            return failed(new HostChangeError.HostUnknown(change.host()));
        }
        if (!host.get().equals(expected) || !expected.equals(view.hosts().get(change.host()))) {
            return failed(new HostChangeError.Contended("record of " + change.host() + " changed"));
        }
        Optional<HostChangeError> violation = change.check(view, expected);
        if (violation.isPresent()) {
            return failed(violation.get());
        }
        Transaction.Builder builder = Transaction.builder()
                .compare(guardKey, guardRevision)
                .compare(keys.configuration(HOSTS, change.host()), entry.get().modRevision());
        write(builder, change, expected);
        return store.commit(additions.apply(builder).build()).thenApply(HostChanger::toResult);
    }

    private void write(Transaction.Builder builder, HostChange change, Host host) {
        Host updated = change.applyTo(host);
        byte[] reason = change.host().getBytes(StandardCharsets.UTF_8);
        builder.put(keys.poolGuard(host.pool()), reason);
        if (!updated.pool().equals(host.pool())) {
            builder.put(keys.poolGuard(updated.pool()), reason);
        }
        builder.put(keys.configuration(HOSTS, change.host()), RecordCodec.encode(updated));
    }

    private static Either<HostChangeError, Long> toResult(Either<StoreError, CommitResult> result) {
        return result.fold(error -> Either.left(unavailable(error)), committed -> switch (committed) {
            case CommitResult.Committed ok -> Either.right(ok.revision());
            case CommitResult.Conflict conflict ->
                Either.left(new HostChangeError.Contended("conflict at revision " + conflict.revision()));
        });
    }

    private static HostChangeError unavailable(StoreError error) {
        return switch (error) {
            case StoreError.Refused refused -> new HostChangeError.StoreUnavailable(refused.detail());
            case StoreError.Unknown unknown -> new HostChangeError.OutcomeUnknown(unknown.detail());
        };
    }

    private static CompletionStage<Either<HostChangeError, Long>> failed(HostChangeError error) {
        return CompletableFuture.completedFuture(Either.left(error));
    }
}
