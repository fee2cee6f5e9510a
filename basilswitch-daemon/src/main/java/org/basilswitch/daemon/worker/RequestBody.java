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
 * <p>Nothing is read from the caller before the first {@link #sendTo}. Bodies up to the replay limit are retained so
 * that they can be sent again; longer ones are not, and can be sent once.
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

    /** Takes over a paused request's body. */
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

    /** Whether the declared length is over the limit. */
    public boolean isDeclaredTooLarge() {
        return declaredBytes.isPresent() && declaredBytes.getAsLong() > limitBytes;
    }

    /** Whether the body can be sent, for the first time or again. */
    public boolean isSendable() {
        return replayable;
    }

    /** Whether the caller has sent all of it. */
    public boolean ended() {
        return ended;
    }

    /** Bytes received so far. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Whether the caller is the one that is waited for. */
    public boolean isWaitingForCaller() {
        return reading && !ended && !waitingForTarget;
    }

    /** Streams the body into a request whose headers are set and not yet sent, replacing the former target. */
    public void sendTo(HttpClientRequest nextTarget, Consumer<Defect> defectHandler) {
        target = nextTarget;
        defectHandler = defectHandler;
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

    /** Stops streaming to the present target; the body stays sendable when it is retained. */
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

    /** Defects of a caller's body. */
    public enum Defect {
        TOO_LARGE,
        STALLED
    }
}
