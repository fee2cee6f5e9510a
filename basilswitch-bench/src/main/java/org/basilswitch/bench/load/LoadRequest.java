package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.worker.LoadBody;
import org.basilswitch.standin.worker.LoadResponse;

/** A caller's request, sent to an entry host and retried at others with the same idempotency key. */
final class LoadRequest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration ANSWER_GRACE = Duration.ofSeconds(3);
    private static final long RETRY_DELAY_MS = 200;
    private static final String OUTCOME_HEADER = "Basilswitch-Outcome";

    private final Dependencies dependencies;
    private final LoadStream stream;
    private final LoadBody body;
    private final Consumer<RequestResult> onEnd;
    private final long startNanos = System.nanoTime();
    private final Set<EntryTarget> unreachable = new HashSet<>();
    private Optional<EntryTarget> last = Optional.empty();
    private Optional<Outcome> unknownOutcome = Optional.empty();
    private int attempts;

    private LoadRequest(Dependencies dependencies, LoadStream stream, LoadBody body, Consumer<RequestResult> onEnd) {
        this.dependencies = dependencies;
        this.stream = stream;
        this.body = body;
        this.onEnd = onEnd;
    }

    /** Dependencies shared by all requests of a load. */
    record Dependencies(Vertx vertx, HttpClient client, Balancer balancer, int retries) {}

    static void send(Dependencies dependencies, LoadStream stream, LoadBody body, Consumer<RequestResult> onEnd) {
        new LoadRequest(dependencies, stream, body, onEnd).attempt();
    }

    private void attempt() {
        attempts++;
        Set<EntryTarget> excluded = new HashSet<>(unreachable);
        last.ifPresent(excluded::add);
        Optional<EntryTarget> target = dependencies
                .balancer()
                .choose(excluded)
                .or(() -> dependencies.balancer().choose(Set.of()));
        if (target.isEmpty()) {
            onAttemptEnd(new Outcome.Refused("no-entry-host"));
            return;
        }
        last = target;
        String path = "/v1/queues/" + stream.queue() + "/requests";
        dependencies
                .client()
                .request(HttpMethod.POST, target.get().callerPort(), LOOPBACK, path)
                .onSuccess(this::write)
                .onFailure(cause -> onConnectFailure(target.get(), cause));
    }

    private void onConnectFailure(EntryTarget target, Throwable cause) {
        dependencies.balancer().markNotReady(target);
        if (unreachable.add(target) && dependencies.balancer().readyTargets() > 0) {
            attempts--;
            attempt();
        } else {
            onAttemptEnd(new Outcome.Refused("connect-" + cause.getClass().getSimpleName()));
        }
    }

    private void write(HttpClientRequest request) {
        new Exchange(request).start();
    }

    private void onAttemptEnd(Outcome outcome) {
        if (outcome instanceof Outcome.Unknown) {
            unknownOutcome = Optional.of(outcome);
        }
        boolean again = outcome instanceof Outcome.Unknown || outcome instanceof Outcome.Refused;
        if (again && attempts <= dependencies.retries()) {
            dependencies.vertx().setTimer(RETRY_DELAY_MS, ignored -> attempt());
            return;
        }
        Outcome finalOutcome = outcome instanceof Outcome.Refused ? unknownOutcome.orElse(outcome) : outcome;
        onEnd.accept(new RequestResult(
                body.testId(), stream, finalOutcome, attempts, Duration.ofNanos(System.nanoTime() - startNanos)));
    }

    /** One attempt over a connection, ended by the first of its answer, a connection failure and the timeout. */
    private final class Exchange {
        private final HttpClientRequest request;
        private long timer;
        private boolean done;

        private Exchange(HttpClientRequest request) {
            this.request = request;
        }

        private void start() {
            timer = dependencies
                    .vertx()
                    .setTimer(stream.deadline().plus(ANSWER_GRACE).toMillis(), ignored -> timedOut());
            request.putHeader("Content-Type", "application/json");
            request.putHeader("Idempotency-Key", body.testId());
            request.putHeader(
                    "Basilswitch-Deadline-Ms", Long.toString(stream.deadline().toMillis()));
            stream.keySecret().ifPresent(secret -> request.putHeader("Authorization", "Bearer " + secret));
            request.send(Buffer.buffer(RecordCodec.encode(body)))
                    .compose(response -> response.body().map(content -> classify(response, content)))
                    .onSuccess(this::finish)
                    .onFailure(cause -> finish(new Outcome.Unknown("connection-lost")));
        }

        private void timedOut() {
            finish(new Outcome.Unknown("no-answer"));
            request.reset();
        }

        private void finish(Outcome outcome) {
            if (!done) {
                done = true;
                dependencies.vertx().cancelTimer(timer);
                onAttemptEnd(outcome);
            }
        }

        private Outcome classify(HttpClientResponse response, Buffer content) {
            String outcome = response.getHeader(OUTCOME_HEADER);
            if ("ran".equals(outcome)) {
                return answered(response.statusCode(), content);
            }
            String code = problemCode(content).orElse("status-" + response.statusCode());
            return "not-run".equals(outcome) ? new Outcome.Refused(code) : new Outcome.Unknown(code);
        }

        private Outcome answered(int status, Buffer content) {
            if (status != 200) {
                return new Outcome.Answered(status);
            }
            String testId = RecordCodec.decode(content.getBytes(), LoadResponse.class)
                    .map(LoadResponse::testId)
                    .orElse("");
            return body.testId().equals(testId) ? new Outcome.Answered(status) : new Outcome.Foreign(testId);
        }

        private Optional<String> problemCode(Buffer content) {
            try {
                return Optional.ofNullable(new JsonObject(content).getString("code"));
            } catch (DecodeException | ClassCastException e) {
                return Optional.empty();
            }
        }
    }
}
