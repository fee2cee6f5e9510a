package org.basilswitch.daemon.http;

import java.util.Map;
import java.util.function.BiConsumer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.backpressure.BodyBuffer;
import org.basilswitch.backpressure.ConnectionTable;
import org.basilswitch.backpressure.ShedReason;

/** A server's connection, which is closed when it has to give way in a {@link ConnectionTable}. */
public final class GuardedConnection {
    /** Memory of a request beside its headers and body, bytes. */
    private static final int REQUEST_BYTES = 2048;

    private static final int HEADER_FIELD_BYTES = 192;
    /** The request target is kept as it was received and in its parts. */
    private static final int TARGET_COPIES = 3;
    /** Memory for decoding a body and keeping it until the answer, for each of its bytes. */
    private static final int DECODED_BODY_BYTES_PER_BYTE = 4;

    /** Charged for each part of a body beside its bytes: very small chunks cost far more than they carry. */
    private static final int PART_BYTES = 32;

    private static final String RETRY_AFTER_S = "1";
    private static final byte[] NO_BODY = {};

    private final HttpConnection http;
    private final ConnectionTable<GuardedConnection> table;
    private final Runnable stallWatch;
    private ConnectionTable.Entry<GuardedConnection> entry;
    private InboundGate gate;
    private HttpServerRequest incomplete;
    private boolean receiving;
    private boolean blocked;
    private boolean shed;
    private int openRequests;
    private long inboundBytes;

    GuardedConnection(HttpConnection http, ConnectionTable<GuardedConnection> table, Runnable stallWatch) {
        this.http = http;
        this.table = table;
        this.stallWatch = stallWatch;
    }

    /** Starts guarding the connection, which is in the table. */
    void guard(ConnectionTable.Entry<GuardedConnection> next, InboundGate inboundGate) {
        entry = next;
        gate = inboundGate;
    }

    /** A request that is being read or answered. */
    final class Request {
        private final HttpServerRequest http;
        private final BodyBuffer body;
        private long chargedBytes;
        private boolean inWork;
        private boolean ended;

        private Request(HttpServerRequest http, int maxBodyBytes) {
            this.http = http;
            this.body = BodyBuffer.create(maxBodyBytes);
        }

        private boolean charge(long bytes) {
            chargedBytes += bytes;
            return table.charge(entry, bytes);
        }

        /** Reads the body and then calls the handler, once the caller has taken the answers to earlier requests. */
        void read(BiConsumer<HttpServerRequest, byte[]> handler) {
            HttpServerResponse response = http.response();
            if (response.writeQueueFull()) {
                http.pause();
                response.drainHandler(ignored -> http.resume());
            }
            http.handler(this::onPart);
            http.endHandler(ignored -> onRead(handler));
        }

        private void onPart(Buffer part) {
            if (shed || http.response().ended()) {
                return;
            }
            if (!body.fits(part.length())) {
                http.response().setStatusCode(413).end();
                return;
            }
            int growthBytes = PART_BYTES + body.growthBytes(part.length());
            chargedBytes += growthBytes;
            if (table.onBodyPart(entry, growthBytes)) {
                int offset = body.length();
                part.getBytes(body.extend(part.length()), offset);
            }
        }

        private void onRead(BiConsumer<HttpServerRequest, byte[]> handler) {
            if (shed || ended || http.response().ended()) {
                endReceiving();
                return;
            }
            byte[] whole = body.length() == 0 ? NO_BODY : body.take();
            if (whole.length > 0 && !charge((long) whole.length * DECODED_BODY_BYTES_PER_BYTE)) {
                return;
            }
            endReceiving();
            inWork = true;
            table.onRequestRead(entry);
            handler.accept(http, whole);
        }

        private void endReceiving() {
            incomplete = null;
            if (receiving) {
                receiving = false;
                table.onReceivingEnded(entry);
            }
        }

        /** The request has been answered or its connection is gone; returns whether this was the first call. */
        boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            openRequests--;
            table.release(entry, chargedBytes);
            if (inWork) {
                table.onRequestEnded(entry);
            }
            return true;
        }
    }

    /** Starts a request that is read whole; it is shed at once when there is no memory for it. */
    Request begin(HttpServerRequest request, int maxBodyBytes) {
        Request begun = new Request(request, maxBodyBytes);
        incomplete = request;
        openRequests++;
        if (receiving) {
            receiving = false;
            table.onReceivingEnded(entry);
        }
        gate.updateHeld();
        begun.charge(headerBytes(request));
        return begun;
    }

    private static long headerBytes(HttpServerRequest request) {
        long bytes = REQUEST_BYTES + (long) TARGET_COPIES * request.uri().length();
        for (Map.Entry<String, String> field : request.headers()) {
            bytes += HEADER_FIELD_BYTES
                    + field.getKey().length()
                    + field.getValue().length();
        }
        return bytes;
    }

    /**
     * Starts a request whose server reads the body itself, once the caller has taken the answers to earlier requests.
     *
     * @param handler handles the request, unless the connection is closed instead
     */
    public void handleStreamed(HttpServerRequest request, Handler<HttpServerRequest> handler) {
        if (shed) {
            return;
        }
        Request begun = begin(request, 0);
        if (shed) {
            return;
        }
        incomplete = null;
        begun.inWork = true;
        table.onRequestRead(entry);
        request.response().endHandler(ignored -> begun.end());
        if (request.response().writeQueueFull()) {
            request.pause();
            request.response().drainHandler(ignored -> {
                request.response().drainHandler(null);
                request.resume();
                handler.handle(request);
            });
        } else {
            handler.handle(request);
        }
    }

    /** Received bytes have been decoded; what they leave unfinished is watched from now on. */
    void onDecoded(boolean inHeader) {
        if (shed || receiving || incomplete == null && !inHeader) {
            return;
        }
        receiving = true;
        if (incomplete == null) {
            table.onHeaderStarted(entry);
        } else {
            table.onBodyStarted(entry);
        }
        stallWatch.run();
    }

    /**
     * Sets what the connection holds of its input.
     *
     * @param nowBlocked whether requests that were sent ahead wait unread
     * @param waiting whether received bytes wait for their turn to be decoded
     * @param bytes memory of what was received and not passed on, bytes
     */
    void setInbound(boolean nowBlocked, boolean waiting, long bytes) {
        if (shed) {
            return;
        }
        table.setWaiting(entry, waiting);
        table.setBlocked(entry, nowBlocked);
        if (nowBlocked && !blocked) {
            stallWatch.run();
        }
        blocked = nowBlocked;
        long before = inboundBytes;
        inboundBytes = bytes;
        if (bytes > before) {
            table.charge(entry, bytes - before);
        } else {
            table.release(entry, before - bytes);
        }
    }

    /** Closes the connection, with an answer to a request that was not read whole. */
    void shed(ShedReason reason) {
        shed = true;
        if (gate == null) {
            http.close();
            return;
        }
        if (incomplete != null
                && !incomplete.response().ended()
                && !incomplete.response().writeQueueFull()) {
            HttpServerResponse response = incomplete.response().putHeader("Connection", "close");
            if (reason == ShedReason.STALLED) {
                response.setStatusCode(408).end();
            } else {
                response.setStatusCode(503)
                        .putHeader("Retry-After", RETRY_AFTER_S)
                        .end();
            }
        }
        gate.closeSoon();
    }

    /** Reads what has arrived up to now. */
    void readNow() {
        if (gate != null && !shed) {
            gate.readNow();
        }
    }

    /** Returns whether the connection waits for nothing and has nothing unread, so that its closing loses no request. */
    boolean isIdle() {
        return openRequests == 0 && (gate == null || !gate.hasUnread());
    }

    /** The connection is closed. */
    public void onClosed() {
        if (entry != null) {
            table.close(entry);
        }
    }

    boolean isShed() {
        return shed;
    }

    int openRequests() {
        return openRequests;
    }

    HttpConnection http() {
        return http;
    }
}
