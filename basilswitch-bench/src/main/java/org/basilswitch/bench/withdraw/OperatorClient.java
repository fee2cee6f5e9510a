package org.basilswitch.bench.withdraw;

import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.daemon.admin.ChangeAnswer;
import org.basilswitch.daemon.admin.ChangeHeaders;

/** Client of the administration interface that retries a change with the same operation id until it is in force. */
final class OperatorClient implements AutoCloseable {
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS = 100;

    private final HttpClient client;
    private final WithdrawSite site;

    private OperatorClient(Vertx vertx, WithdrawSite site) {
        this.client = vertx.createHttpClient();
        this.site = site;
    }

    static OperatorClient create(WithdrawSite site) {
        return new OperatorClient(site.vertx(), site);
    }

    /** Number of attempts that a change needed, and the answer to the last one. */
    record ChangeResult(int attempts, ChangeAnswer answer) {}

    ChangeResult put(int entryHost, String path, String operationId, String body) {
        return change(entryHost, HttpMethod.PUT, path, operationId, 0, Optional.of(body));
    }

    ChangeResult delete(int entryHost, String path, String operationId, long revision) {
        return change(entryHost, HttpMethod.DELETE, path, operationId, revision, Optional.empty());
    }

    private ChangeResult change(
            int entryHost, HttpMethod method, String path, String operationId, long revision, Optional<String> body) {
        String last = "";
        for (int attempts = 1; attempts <= MAX_ATTEMPTS; attempts++) {
            int port = site.administrationPort((entryHost + attempts - 1) % site.size());
            RequestOptions options = new RequestOptions()
                    .setMethod(method)
                    .setHost("127.0.0.1")
                    .setPort(port)
                    .setURI("/admin/v1/" + path)
                    .putHeader("Authorization", "Bearer " + WithdrawSite.OPERATOR_KEY)
                    .putHeader(ChangeHeaders.OPERATION_ID, operationId)
                    .putHeader(
                            revision == 0 ? "If-None-Match" : "If-Match", revision == 0 ? "*" : "\"" + revision + "\"");
            Response answer = send(options, body).await();
            if (answer.status == OK) {
                return new ChangeResult(
                        attempts,
                        RecordCodec.decode(answer.body.getBytes(), ChangeAnswer.class)
                                .orElseThrow());
            }
            last = answer.status + " " + answer.body;
        }
        throw new IllegalStateException(
                method + " " + path + " is not in force after " + MAX_ATTEMPTS + " attempts: " + last);
    }

    private record Response(int status, Buffer body) {}

    private Future<Response> send(RequestOptions options, Optional<String> body) {
        return client.request(options)
                .compose(request -> request.send(body.orElse("")))
                .compose(response -> response.body().map(bytes -> new Response(response.statusCode(), bytes)));
    }

    @Override
    public void close() {
        client.close();
    }
}
