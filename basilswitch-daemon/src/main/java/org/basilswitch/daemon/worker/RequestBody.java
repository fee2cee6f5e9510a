package org.basilswitch.daemon.worker;

import java.util.OptionalLong;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;

/**
 * A caller's request body, streamed to a backend server with back-pressure and a size limit.
 *
 * <p>Nothing is read from the caller before the first {@link #sendTo}. A body up to the replay limit is kept in memory,
 * so that a retry can send it to another server; a longer body can be sent only once.
 */
public final class RequestBody {
    private final HttpServerRequest request;
    private final OptionalLong declaredBytes;
    private final long limitBytes;
    private final int replayLimitBytes;
    private Buffer retained = Buffer.buffer();
    private boolean replayable = true;
    private boolean reading;
    private boolean ended;
    private boolean waitingForTarget;
    private long receivedBytes;
    private HttpClientRequest target;
    private Consumer<Defect> defectHandler = defect -> {};

    private RequestBody(HttpServerRequest request, long limitBytes, int replayLimitBytes) {
        this.request = request;
        this.limitBytes = limitBytes;
        this.replayLimitBytes = replayLimitBytes;
        this.declaredBytes = declaredBytes(request);
        this.ended = declaredBytes.isPresent() && declaredBytes.getAsLong() == 0;
    }

    /**
     * Creates the body of a paused request.
     *
     * @param request the caller's request
     * @param limitBytes largest body accepted, in bytes
     * @param replayLimitBytes largest body kept for a retry, in bytes
     */
    public static RequestBody of(HttpServerRequest request, long limitBytes, int replayLimitBytes) {
        return new RequestBody(request, limitBytes, replayLimitBytes);
    }

    private static OptionalLong declaredBytes(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null) {
            return OptionalLong.of(Long.parseLong(length));
        }
        return request.headers().contains(HttpHeaders.TRANSFER_ENCODING) ? OptionalLong.empty() : OptionalLong.of(0);
    }

    /** Returns whether the declared length exceeds the size limit; false when no length is declared. */
    public boolean isDeclaredTooLarge() {
        return declaredBytes.isPresent() && declaredBytes.getAsLong() > limitBytes;
    }

    /**
     * Returns whether {@link #sendTo} can send the whole body: nothing was read yet, or all that was read is retained.
     */
    public boolean isSendable() {
        return replayable;
    }

    /** Returns whether the whole body was received from the caller. */
    public boolean isEnded() {
        return ended;
    }

    /** Returns the number of bytes received from the caller so far. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Returns whether the body is being read and the caller, not the server, is the one to make progress. */
    public boolean isWaitingForCaller() {
        return reading && !ended && !waitingForTarget;
    }

    /**
     * Streams the body into a request to a backend server, which replaces the previous target.
     *
     * @param nextTarget request whose headers are set and not yet sent
     * @param nextDefectHandler called when the body exceeds the size limit
     */
    public void sendTo(HttpClientRequest nextTarget, Consumer<Defect> nextDefectHandler) {
        target = nextTarget;
        defectHandler = nextDefectHandler;
        waitingForTarget = false;
        declareLength(nextTarget);
        if (ended) {
            nextTarget.end(retained);
            return;
        }
        if (retained.length() > 0) {
            nextTarget.write(retained);
        }
        startReading();
    }

    private void declareLength(HttpClientRequest nextTarget) {
        if (declaredBytes.isPresent()) {
            nextTarget.putHeader(HttpHeaders.CONTENT_LENGTH, Long.toString(declaredBytes.getAsLong()));
        } else {
            nextTarget.setChunked(true);
        }
    }

    /** Stops streaming to the current target; a retained body can still be sent to another one. */
    public void stopStreaming() {
        target = null;
        defectHandler = defect -> {};
        if (reading && !ended) {
            request.pause();
        }
    }

    private void startReading() {
        if (!reading) {
            reading = true;
            request.handler(this::onChunk);
            request.endHandler(end -> onEnd());
        }
        request.resume();
    }

    private void onChunk(Buffer chunk) {
        receivedBytes += chunk.length();
        if (receivedBytes > limitBytes) {
            replayable = false;
            defectHandler.accept(Defect.TOO_LARGE);
            return;
        }
        retain(chunk);
        if (target == null) {
            return;
        }
        boolean last = declaredBytes.isPresent() && receivedBytes == declaredBytes.getAsLong();
        if (last) {
            ended = true;
            target.end(chunk);
        } else {
            write(chunk);
        }
    }

    private void write(Buffer chunk) {
        HttpClientRequest current = target;
        current.write(chunk);
        if (current.writeQueueFull()) {
            waitingForTarget = true;
            request.pause();
            current.drainHandler(drained -> onDrained(current));
        }
    }

    private void onDrained(HttpClientRequest drained) {
        if (drained == target) {
            waitingForTarget = false;
            request.resume();
        }
    }

    private void retain(Buffer chunk) {
        if (replayable && receivedBytes <= replayLimitBytes) {
            retained.appendBuffer(chunk);
        } else {
            replayable = false;
            retained = Buffer.buffer();
        }
    }

    private void onEnd() {
        boolean wasOpen = !ended;
        ended = true;
        if (wasOpen && target != null) {
            target.end();
        }
    }

    /** Faults of a caller's body that end the request. */
    public enum Defect {
        TOO_LARGE,
        STALLED
    }
}
