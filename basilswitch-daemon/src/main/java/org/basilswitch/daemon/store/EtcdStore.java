package org.basilswitch.daemon.store;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreError.Reason;
import org.basilswitch.store.Transaction;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.LeaseGrantRequest;
import org.basilswitch.store.etcd.EtcdMessages.LeaseKeepAliveResult;
import org.basilswitch.store.etcd.EtcdMessages.LeaseRequest;
import org.basilswitch.store.etcd.EtcdMessages.LeaseResponse;
import org.basilswitch.store.etcd.EtcdMessages.RangeRequest;
import org.basilswitch.store.etcd.EtcdMessages.RangeResponse;
import org.basilswitch.store.etcd.EtcdMessages.TxnResponse;

/**
 * Client for the platform's store over the etcd v3 JSON gateway, on Vert.x's HTTP client.
 *
 * <p>Reads and keep-alives are retried a bounded number of times, at the next endpoint if there are several. A
 * transaction, lease grant or lease revocation is retried only when no byte of it can have been sent. Once it may have
 * been sent, a missing response is {@link StoreError.Unknown}, and the caller must read the store to learn the outcome.
 */
public final class EtcdStore implements PlatformStore, AutoCloseable {
    private static final int MAX_WATCHES = 64;
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final Vertx vertx;
    private final Context context;
    private final EtcdStoreOptions options;
    private final Telemetry telemetry;
    private final Endpoints endpoints;
    private final HttpClient client;
    private final HttpClient watchClient;
    private final Set<EtcdWatch> watches = new HashSet<>();
    private boolean closed;

    private EtcdStore(Vertx vertx, Context context, EtcdStoreOptions options, Telemetry telemetry) {
        this.vertx = vertx;
        this.context = context;
        this.options = options;
        this.telemetry = telemetry;
        this.endpoints = Endpoints.of(options.endpoints());
        this.client = vertx.createHttpClient(clientOptions(), new PoolOptions().setHttp1MaxSize(options.connections()));
        this.watchClient = vertx.createHttpClient(
                clientOptions().setKeepAlive(false), new PoolOptions().setHttp1MaxSize(MAX_WATCHES));
    }

    /** Creates a client whose stages complete on the event loop of a context; it connects on the first call. */
    public static EtcdStore create(Vertx vertx, Context context, EtcdStoreOptions options, Telemetry telemetry) {
        return new EtcdStore(vertx, context, options, telemetry);
    }

    private HttpClientOptions clientOptions() {
        return new HttpClientOptions()
                .setConnectTimeout((int) options.connectTimeout().toMillis())
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true);
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<Entry>>> get(String key) {
        byte[] request = EtcdJson.encode(new RangeRequest(EtcdJson.keyBytes(key), null));
        return call(StoreCall.GET, request, RangeResponse.class, EtcdTranslation::firstEntry);
    }

    @Override
    public CompletionStage<Either<StoreError, Range>> range(String prefix) {
        byte[] request = EtcdJson.encode(new RangeRequest(EtcdJson.keyBytes(prefix), EtcdJson.prefixEnd(prefix)));
        return call(StoreCall.RANGE, request, RangeResponse.class, EtcdTranslation::range);
    }

    @Override
    public CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction) {
        byte[] request = EtcdJson.encode(EtcdTranslation.request(transaction));
        return call(StoreCall.COMMIT, request, TxnResponse.class, EtcdTranslation::commitResult);
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive) {
        byte[] request = EtcdJson.encode(new LeaseGrantRequest(EtcdTranslation.secondsRoundedUp(timeToLive)));
        return call(
                StoreCall.LEASE_GRANT,
                request,
                LeaseResponse.class,
                answer -> answer.id() == 0 ? EtcdTranslation.malformed() : Either.right(answer.id()));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId) {
        byte[] request = EtcdJson.encode(new LeaseRequest(leaseId));
        return call(
                StoreCall.LEASE_KEEP_ALIVE,
                request,
                LeaseKeepAliveResult.class,
                answer -> EtcdTranslation.keepAliveResult(leaseId, answer));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId) {
        byte[] request = EtcdJson.encode(new LeaseRequest(leaseId));
        return call(StoreCall.LEASE_REVOKE, request, Object.class, ignored -> Either.right(leaseId));
    }

    private <A, T> CompletionStage<Either<StoreError, T>> call(
            StoreCall call, byte[] request, Class<A> answerType, Function<A, Either<StoreError, T>> translate) {
        CompletableFuture<Either<StoreError, T>> stage = new CompletableFuture<>();
        Function<Buffer, Either<StoreError, T>> decode = body ->
                EtcdJson.decode(body.getBytes(), answerType).map(translate).orElseGet(EtcdTranslation::malformed);
        context.runOnContext(ignored -> attempt(new PendingCall<>(call, request, decode, stage), 1));
        return stage;
    }

    private <T> void attempt(PendingCall<T> pending, int attemptNumber) {
        if (closed) {
            complete(pending, Either.left(new StoreError.Refused(Reason.CLOSED, "the adapter is closed")));
            return;
        }
        URI endpoint = endpoints.preferred();
        UnaryCall.send(vertx, client, options.callTimeout(), endpoint, pending.call(), pending.request())
                .onSuccess(result ->
                        context.runOnContext(ignored -> onAttemptEnded(pending, attemptNumber, endpoint, result)));
    }

    private <T> void onAttemptEnded(
            PendingCall<T> pending, int attemptNumber, URI endpoint, Either<StoreError, Buffer> result) {
        if (result.isRight()) {
            complete(pending, result.flatMap(pending.decode()));
            return;
        }
        if (isUnreachable(result.getLeft())) {
            endpoints.onFailure(endpoint);
        }
        if (!mayRetry(pending.call(), attemptNumber, result.getLeft())) {
            complete(pending, Either.left(result.getLeft()));
            return;
        }
        telemetry.count(CounterCode.STORE_RETRIES, pending.call().tag());
        vertx.setTimer(RETRY_DELAY.toMillis(), ignored -> attempt(pending, attemptNumber + 1));
    }

    private static boolean isUnreachable(StoreError error) {
        return switch (error) {
            case StoreError.Refused refused ->
                refused.reason() == Reason.UNREACHABLE || refused.reason() == Reason.TIMEOUT;
            case StoreError.Unknown unknown -> true;
        };
    }

    private boolean mayRetry(StoreCall call, int attemptNumber, StoreError error) {
        if (call.isIdempotent()) {
            return attemptNumber < options.readAttempts() && isUnreachable(error);
        }
        boolean neverSent = error instanceof StoreError.Refused && isUnreachable(error);
        return neverSent && attemptNumber < endpoints.size();
    }

    private <T> void complete(PendingCall<T> pending, Either<StoreError, T> result) {
        result.peekLeft(error -> telemetry.event(
                EventCode.STORE_CALL_FAILED, "call=" + pending.call().tag() + " " + error));
        pending.stage().complete(result);
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
        EtcdWatch watch = EtcdWatch.create(
                vertx,
                context,
                watchClient,
                endpoints,
                options.watchIdleTimeout(),
                telemetry,
                prefix,
                fromRevision,
                listener);
        context.runOnContext(ignored -> open(watch));
        return watch;
    }

    private void open(EtcdWatch watch) {
        if (closed) {
            watch.close();
            return;
        }
        watches.removeIf(EtcdWatch::isClosed);
        watches.add(watch);
        watch.open();
    }

    @Override
    public void close() {
        context.runOnContext(ignored -> closeNow());
    }

    private void closeNow() {
        closed = true;
        new ArrayList<>(watches).forEach(EtcdWatch::close);
        watches.clear();
        List.of(client, watchClient).forEach(HttpClient::close);
    }

    private record PendingCall<T>(
            StoreCall call,
            byte[] request,
            Function<Buffer, Either<StoreError, T>> decode,
            CompletableFuture<Either<StoreError, T>> stage) {}
}
