package org.basilswitch.daemon.worker;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.dispatch.Attempt;

/** Receives the outcome of an exchange with a backend server, for the caller's request. */
public interface ResponseSink {

    /** Sets the status and headers of the caller's response and returns it, to stream the server's body into. */
    HttpServerResponse startResponse(HttpClientResponse answer);

    /** Called before a chunk of the server's response body is forwarded. */
    void onChunk(Buffer chunk);

    /** Called when the whole response was forwarded. */
    void onCompleted(int status);

    /**
     * Called when the exchange ended without a complete response; {@code headersForwarded} is true when its headers were
     * forwarded.
     */
    void onFailed(Attempt.Failure failure, boolean headersForwarded);

    /** Called when a fault of the caller's body ended the exchange. */
    void onBodyDefect(RequestBody.Defect defect);
}
