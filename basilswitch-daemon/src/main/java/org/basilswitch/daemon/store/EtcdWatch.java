package org.basilswitch.daemon.store;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.WatchCreateRequest;
import org.basilswitch.store.etcd.EtcdMessages.WatchRequest;
import org.basilswitch.store.etcd.EtcdMessages.WatchResponse;
import org.basilswitch.store.etcd.EtcdMessages.WatchResult;

/** A watch that reopens its stream after a failure or idle timeout, at the revision after the last one delivered. */
final class EtcdWatch implements PlatformStore.Watch {
    private static final long MIN_REOPEN_DELAY_MS = 100;
    private static final long MAX_REOPEN_DELAY_MS = 2000;
    private static final int HTTP_OK = 200;
    private static final int MAX_MESSAGE_BYTES = 16 << 20;

    private final Vertx vertx;
    private final Context context;
    private final HttpClient client;
    private final Endpoints endpoints;
    private final Duration idleTimeout;
    private final Telemetry telemetry;
    private final String prefix;
    private final PlatformStore.WatchListener listener;
    private Optional<HttpClientRequest> request = Optional.empty();
    private long nextRevision;
    private long reopenDelayMs = MIN_REOPEN_DELAY_MS;
    private long streamNumber;
    private long lastMessageNanos;
    private boolean closed;

    private EtcdWatch(
            Vertx vertx,
            Context context,
            HttpClient client,
            Endpoints endpoints,
            Duration idleTimeout,
            Telemetry telemetry,
            String prefix,
            long fromRevision,
            PlatformStore.WatchListener listener) {
        this.vertx = vertx;
        this.context = context;
        this.client = client;
        this.endpoints = endpoints;
        this.idleTimeout = idleTimeout;
        this.telemetry = telemetry;
        this.prefix = prefix;
        this.nextRevision = fromRevision;
        this.listener = listener;
    }

    static EtcdWatch create(
            Vertx vertx,
            Context context,
            HttpClient client,
            Endpoints endpoints,
            Duration idleTimeout,
            Telemetry telemetry,
            String prefix,
            long fromRevision,
            PlatformStore.WatchListener listener) {
        return new EtcdWatch(vertx, context, client, endpoints, idleTimeout, telemetry, prefix, fromRevision, listener);
    }

    /** Opens the stream; must be called on the context. */
    void open() {
        if (closed) {
            return;
        }
        long expectedStream = ++streamNumber;
        URI endpoint = endpoints.preferred();
        lastMessageNanos = System.nanoTime();
        checkIdle(expectedStream, endpoint);
        client.request(Endpoints.requestOptions(endpoint, StoreCall.WATCH))
                .onSuccess(opened -> context.runOnContext(ignored -> send(expectedStream, endpoint, opened)))
                .onFailure(cause -> reopenOnContext(expectedStream, endpoint, cause.getMessage()));
    }

    private void send(long expectedStream, URI endpoint, HttpClientRequest opened) {
        if (closed || expectedStream != streamNumber) {
            opened.reset();
            return;
        }
        request = Optional.of(opened);
        byte[] key = EtcdJson.keyBytes(prefix);
        WatchCreateRequest create = new WatchCreateRequest(key, EtcdJson.prefixEnd(prefix), nextRevision, true);
        opened.response()
                .onSuccess(response -> read(expectedStream, endpoint, response))
                .onFailure(cause -> reopenOnContext(expectedStream, endpoint, cause.getMessage()));
        opened.putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(EtcdJson.encode(new WatchRequest(create))));
    }

    private void read(long expectedStream, URI endpoint, HttpClientResponse response) {
        if (response.statusCode() != HTTP_OK) {
            reopenOnContext(expectedStream, endpoint, "status " + response.statusCode());
            return;
        }
        RecordParser lines = RecordParser.newDelimited(
                "\n", line -> context.runOnContext(ignored -> receive(expectedStream, endpoint, line)));
        lines.maxRecordSize(MAX_MESSAGE_BYTES);
        lines.exceptionHandler(cause -> reopenOnContext(expectedStream, endpoint, cause.getMessage()));
        response.exceptionHandler(cause -> reopenOnContext(expectedStream, endpoint, cause.getMessage()));
        response.endHandler(ignored -> reopenOnContext(expectedStream, endpoint, "stream ended"));
        response.handler(lines);
    }

    private void receive(long expectedStream, URI endpoint, Buffer line) {
        if (closed || expectedStream != streamNumber) {
            return;
        }
        lastMessageNanos = System.nanoTime();
        Optional<WatchResponse> message = EtcdJson.decode(line.getBytes(), WatchResult.class)
                .flatMap(result -> Optional.ofNullable(result.result()));
        if (message.isEmpty() || message.get().header() == null) {
            reopenAfterDelay(expectedStream, endpoint, "message can't be decoded");
            return;
        }
        deliver(endpoint, message.get());
    }

    private void deliver(URI endpoint, WatchResponse message) {
        if (message.compactRevision() > 0) {
            close();
            telemetry.event(EventCode.STORE_WATCH_COMPACTED, "prefix=" + prefix + " from=" + nextRevision);
            listener.onCompacted(message.compactRevision());
        } else if (message.canceled()) {
            reopenAfterDelay(streamNumber, endpoint, "cancelled by the store");
        } else if (!message.events().isEmpty()) {
            deliverEvents(message);
        } else if (!message.created()) {
            nextRevision = Math.max(nextRevision, message.header().revision() + 1);
        }
    }

    private void deliverEvents(WatchResponse message) {
        reopenDelayMs = MIN_REOPEN_DELAY_MS;
        long revision = message.events().stream()
                .mapToLong(event -> event.kv().modRevision())
                .max()
                .orElseThrow();
        if (revision < nextRevision) {
            return;
        }
        nextRevision = revision + 1;
        listener.onChanges(
                revision, message.events().stream().map(EtcdTranslation::change).toList());
    }

    private void reopenOnContext(long expectedStream, URI endpoint, String reason) {
        context.runOnContext(ignored -> reopenAfterDelay(expectedStream, endpoint, reason));
    }

    private void reopenAfterDelay(long expectedStream, URI endpoint, String reason) {
        if (closed || expectedStream != streamNumber) {
            return;
        }
        streamNumber++;
        endpoints.onFailure(endpoint);
        request.ifPresent(HttpClientRequest::reset);
        request = Optional.empty();
        telemetry.event(EventCode.STORE_WATCH_INTERRUPTED, "prefix=" + prefix + " next=" + nextRevision + " " + reason);
        telemetry.count(CounterCode.STORE_RETRIES, StoreCall.WATCH.tag());
        vertx.setTimer(reopenDelayMs, ignored -> context.runOnContext(again -> open()));
        reopenDelayMs = Math.min(MAX_REOPEN_DELAY_MS, reopenDelayMs * 2);
    }

    private void checkIdle(long expectedStream, URI endpoint) {
        if (closed || expectedStream != streamNumber) {
            return;
        }
        long leftMs =
                idleTimeout.minusNanos(System.nanoTime() - lastMessageNanos).toMillis();
        if (leftMs <= 0) {
            reopenAfterDelay(expectedStream, endpoint, "silent for " + idleTimeout.toMillis() + " ms");
            return;
        }
        vertx.setTimer(leftMs + 1, ignored -> context.runOnContext(again -> checkIdle(expectedStream, endpoint)));
    }

    boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        context.runOnContext(ignored -> {
            closed = true;
            request.ifPresent(HttpClientRequest::reset);
            request = Optional.empty();
        });
        closed = true;
    }
}
