package org.basilswitch.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.fleet.WorkerPlatform;

/**
 * HTTP client for the platform's worker hosts: {@code GET /v1/host} returns a host's boot identifier and running tasks,
 * and {@code POST /v1/host/reboot} reboots it. Results are delivered on the event loop of the entry host.
 */
public final class HttpWorkerPlatform implements WorkerPlatform, AutoCloseable {
    private static final String HOST_PATH = "/v1/host";
    private static final String REBOOT_PATH = "/v1/host/reboot";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;

    private final Context context;
    private final HttpClient client;
    private final Supplier<Optional<LiveHostList>> latestLiveHosts;

    private HttpWorkerPlatform(Context context, HttpClient client, Supplier<Optional<LiveHostList>> list) {
        this.context = context;
        this.client = client;
        this.latestLiveHosts = list;
    }

    /**
     * Creates a client.
     *
     * @param vertx creates the HTTP client
     * @param context event loop on which results are delivered
     * @param list returns the latest live-host list; empty when none is recent
     */
    public static HttpWorkerPlatform create(Vertx vertx, Context context, Supplier<Optional<LiveHostList>> list) {
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) CALL_TIMEOUT.toMillis());
        return new HttpWorkerPlatform(context, vertx.createHttpClient(options), list);
    }

    @Override
    public CompletionStage<Either<Failure, HostUsage>> usage(Host host) {
        return call(
                host,
                HttpMethod.GET,
                HOST_PATH,
                Buffer.buffer(),
                answer -> answer.status == HTTP_OK ? HostDocument.decode(answer.body.getBytes()) : Optional.empty());
    }

    @Override
    public CompletionStage<Either<Failure, Boolean>> reboot(Host host, String bootId) {
        Buffer body = Buffer.buffer(RecordCodec.encode(new RebootDocument(bootId)));
        return call(host, HttpMethod.POST, REBOOT_PATH, body, answer -> switch (answer.status) {
            case HTTP_OK -> Optional.of(true);
            case HTTP_CONFLICT -> Optional.of(false);
            default -> Optional.empty();
        });
    }

    @Override
    public CompletionStage<Either<Failure, LiveHostList>> liveHosts() {
        Either<Failure, LiveHostList> known = latestLiveHosts
                .get()
                .<Either<Failure, LiveHostList>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.UNREACHABLE));
        return CompletableFuture.completedFuture(known);
    }

    private <T> CompletionStage<Either<Failure, T>> call(
            Host host, HttpMethod method, String path, Buffer body, Function<Response, Optional<T>> reader) {
        CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
        send(host, method, path, body)
                .onComplete(answered -> context.runOnContext(turn -> {
                    if (answered.failed()) {
                        result.complete(Either.left(Failure.UNREACHABLE));
                        return;
                    }
                    Optional<T> read = reader.apply(answered.result());
                    result.complete(
                            read.<Either<Failure, T>>map(Either::right).orElseGet(() -> Either.left(Failure.REFUSED)));
                }));
        return result;
    }

    private Future<Response> send(Host host, HttpMethod method, String path, Buffer body) {
        int colon = host.address().lastIndexOf(':');
        if (colon < 0) {
            return Future.failedFuture("address without a port: " + host.address());
        }
        String ip = host.address().substring(0, colon);
        int port = Integer.parseInt(host.address().substring(colon + 1));
        return client.request(method, SocketAddress.inetSocketAddress(port, ip).port(), ip, path)
                .compose(request -> request.idleTimeout(CALL_TIMEOUT.toMillis()).send(body))
                .compose(response -> response.body().map(read -> new Response(response.statusCode(), read)));
    }

    @Override
    public void close() {
        client.close();
    }

    private record Response(int status, Buffer body) {}
}
