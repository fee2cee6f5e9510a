package org.basilswitch.cli.admin;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import org.basilswitch.administration.FleetStatus;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.daemon.admin.AuditPage;
import org.basilswitch.daemon.admin.ChangeAnswer;
import org.basilswitch.daemon.admin.ChangeHeaders;
import org.basilswitch.daemon.admin.Problem;
import org.basilswitch.daemon.admin.RecordList;
import org.basilswitch.daemon.admin.RecordView;

/**
 * A blocking client of the administration interface.
 *
 * <p>If an entry host does not respond or is unavailable, the client retries at the next one. Retries of a change carry
 * the same operation id, so that a change whose response was lost is not made twice and its result is returned.
 */
final class AdministrationClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);
    private static final int ATTEMPTS_PER_URL = 3;
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int FIRST_ERROR_STATUS = 400;

    private final List<String> urls;
    private final String key;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client;
    private int nextUrl;

    private AdministrationClient(List<String> urls, String key, Optional<Path> authority) {
        this.urls = List.copyOf(urls);
        this.key = key;
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis());
        authority.ifPresent(path -> options.setTrustOptions(new PemTrustOptions().addCertPath(path.toString()))
                .setVerifyHost(false));
        this.client = vertx.createHttpClient(options);
    }

    static AdministrationClient create(List<String> urls, String key, Optional<Path> authority) {
        return new AdministrationClient(urls, key, authority);
    }

    private record Call(HttpMethod method, String path, Optional<String> body, Optional<Precondition> condition) {}

    private record Precondition(String operationId, long expectedRevision, boolean waitInForce) {}

    private record Response(int status, Buffer body) {
        <T> T as(Class<T> type) {
            return RecordCodec.decode(body.getBytes(), type)
                    .orElseThrow(() -> new CommandFailure("the response is not valid: " + body + "; check --url"));
        }
    }

    FleetStatus status() {
        return read("status", FleetStatus.class);
    }

    AuditPage audit(String query) {
        return read("audit?" + query, AuditPage.class);
    }

    List<RecordView> list(String kind) {
        return read(kind, RecordList.class).items();
    }

    /** Reads a record; empty if it does not exist. */
    Optional<RecordView> find(String kind, String name) {
        Response answer = call(new Call(HttpMethod.GET, path(kind, name), Optional.empty(), Optional.empty()));
        return answer.status == NOT_FOUND
                ? Optional.empty()
                : Optional.of(requireSuccess(answer).as(RecordView.class));
    }

    /** Changes single fields of a record, expecting its current revision. */
    Either<Problem, ChangeAnswer> patch(String kind, String name, JsonNode patch) {
        long revision = find(kind, name).map(RecordView::revision).orElse(0L);
        return change(HttpMethod.PATCH, kind, name, Optional.of(patch), revision, true);
    }

    /** Creates a record if the revision is 0; otherwise replaces the record, expecting that revision. */
    Either<Problem, ChangeAnswer> put(String kind, String name, JsonNode record, long revision, boolean waitInForce) {
        return change(HttpMethod.PUT, kind, name, Optional.of(record), revision, waitInForce);
    }

    Either<Problem, ChangeAnswer> delete(String kind, String name) {
        long revision = find(kind, name).map(RecordView::revision).orElse(0L);
        return change(HttpMethod.DELETE, kind, name, Optional.empty(), revision, true);
    }

    private Either<Problem, ChangeAnswer> change(
            HttpMethod method, String kind, String name, Optional<JsonNode> body, long revision, boolean waitInForce) {
        Precondition condition = new Precondition(UUID.randomUUID().toString(), revision, waitInForce);
        Response answer =
                call(new Call(method, path(kind, name), body.map(JsonNode::toString), Optional.of(condition)));
        return answer.status >= FIRST_ERROR_STATUS
                ? Either.left(answer.as(Problem.class))
                : Either.right(answer.as(ChangeAnswer.class));
    }

    private static String path(String kind, String name) {
        return kind + "/" + URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private <T> T read(String path, Class<T> type) {
        return requireSuccess(call(new Call(HttpMethod.GET, path, Optional.empty(), Optional.empty())))
                .as(type);
    }

    private static Response requireSuccess(Response answer) {
        if (answer.status >= FIRST_ERROR_STATUS) {
            Problem problem = answer.as(Problem.class);
            throw new CommandFailure(problem.code() + ": " + problem.detail() + "\n" + problem.remedy());
        }
        return answer;
    }

    /** Sends a request to the entry hosts in turn until one responds with a status other than 503 and 504. */
    private Response call(Call call) {
        Optional<Response> last = Optional.empty();
        String failure = "";
        for (int attempt = 0; attempt < ATTEMPTS_PER_URL * urls.size(); attempt++) {
            String url = urls.get(nextUrl % urls.size());
            try {
                Response answer = send(url, call).await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
                if (answer.status != SERVICE_UNAVAILABLE && answer.status != GATEWAY_TIMEOUT) {
                    return answer;
                }
                last = Optional.of(answer);
            } catch (TimeoutException e) {
                failure = url + " timed out";
            } catch (Exception e) {
                // Vert.x rethrows the cause of the failed future, which may be a checked exception.
                failure = url + ": " + e.getMessage();
            }
            nextUrl++;
            pause();
        }
        String reason = failure;
        String operation = call.condition
                .map(condition -> "; the result is unknown, query operation " + condition.operationId)
                .orElse("");
        return last.orElseThrow(() -> new CommandFailure("no entry host responded (" + reason + ")" + operation
                + "; check --url and whether entry hosts are running"));
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandFailure("interrupted");
        }
    }

    private Future<Response> send(String url, Call call) {
        RequestOptions options = new RequestOptions()
                .setMethod(call.method)
                .setAbsoluteURI(url + "/admin/v1/" + call.path)
                .putHeader("Authorization", "Bearer " + key);
        call.condition.ifPresent(condition -> addHeaders(options, condition));
        return client.request(options)
                .compose(request -> sendBody(request, call.body))
                .compose(response -> response.body().map(body -> new Response(response.statusCode(), body)));
    }

    private static void addHeaders(RequestOptions options, Precondition condition) {
        options.putHeader(ChangeHeaders.OPERATION_ID, condition.operationId);
        if (condition.expectedRevision == 0) {
            options.putHeader("If-None-Match", "*");
        } else {
            options.putHeader("If-Match", "\"" + condition.expectedRevision + "\"");
        }
        if (!condition.waitInForce) {
            options.putHeader("Prefer", "wait=0");
        }
    }

    private static Future<HttpClientResponse> sendBody(HttpClientRequest request, Optional<String> body) {
        return body.map(text ->
                        request.putHeader("Content-Type", "application/json").send(text))
                .orElseGet(request::send);
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }
}
