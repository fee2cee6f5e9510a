package org.basilswitch.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

/** Writes the stand-ins' HTTP responses; does nothing if the response has ended or its connection is closed. */
public final class HttpResponses {

    private HttpResponses() {}

    /** Ends the response with a status and an encoded JSON document. */
    public static void json(HttpServerResponse response, int status, byte[] document) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .end(Buffer.buffer(document));
    }
}
