package org.basilswitch.daemon.worker;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.dispatch.Attempt;

/** The caller's side of an exchange with a backend server. */
public interface ResponseSink {

    /** Writes the answer's status and headers and returns the response to stream the body into. */
    HttpServerResponse startResponse(HttpClientResponse answer);

    /** A part of the answer's body is about to be passed on. */
    void onChunk(Buffer chunk);

    /** The whole answer has been passed on. */
    void onCompleted(int status);

    /** The exchange ended without a whole answer; {@code begun} tells whether a part was passed on. */
    void onFailed(Attempt.Failure failure, boolean begun);

    /** The caller's body is defective; the exchange has ended. */
    void onBodyDefect(RequestBody.Defect defect);
}
