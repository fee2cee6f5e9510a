package org.basilswitch.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

/** Writes answers of the stand-ins unless the caller has gone away. */
public final class HttpResponses {

    private HttpResponses() {}

    /** Writes a JSON document. */
    public static void json(HttpServerResponse response, int status, byte[] document) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status)
                .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .end(Buffer.buffer(document));
    }
}
