package org.basilswitch.standin.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.HttpResponses;
import org.basilswitch.standin.VertxTime;

/**
 * The stand-in worker: runs requests of {@code POST /v1/run} in its slots and tasks under leases. Tests and tools
 * control it under {@code /control/}.
 */
public final class WorkerServer extends VerticleBase {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String RUN_PATH = "/v1/run";
    private static final String REFUSAL_HEADER = "Basilswitch-Worker";
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int NANOS_PER_MICRO = 1000;

    private final WorkerOptions options;
    private final ExecutionLog executionLog;
    private final AtomicReference<WorkerFaults> faults = new AtomicReference<>(WorkerFaults.none());
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Set<ActiveExecution> activeExecutions = new HashSet<>();
    private final SplittableRandom random;
    private TaskTable tasks;
    private HostAgent agent;
    private WorkerControl control;
    private HttpServer server;
    private volatile int port;
    private volatile boolean draining;
    private Optional<ActiveExecution> pendingCrossed = Optional.empty();

    private WorkerServer(WorkerOptions options, ExecutionLog record) {
        this.options = options;
        this.executionLog = record;
        this.random = new SplittableRandom(options.name().hashCode());
        this.port = options.port();
    }

    /** Starts a worker on the loopback interface. */
    public static Future<WorkerServer> start(Vertx vertx, WorkerOptions options, ExecutionLog record) {
        WorkerServer worker = new WorkerServer(options, record);
        return vertx.deployVerticle(worker).map(worker);
    }

    @Override
    public Future<?> start() {
        tasks = TaskTable.create(VertxTime.create(vertx, context));
        vertx.setPeriodic(TaskTable.TICK.toMillis(), ignored -> tasks.tick());
        agent = HostAgent.of(options.name());
        vertx.setPeriodic(HostAgent.SAMPLE_INTERVAL.toMillis(), ignored -> agent.sample(activeExecutions.size()));
        control = WorkerControl.of(this, tasks, agent);
        return listen();
    }

    private Future<?> listen() {
        server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        server.connectionHandler(this::accept);
        server.requestHandler(this::handle);
        return server.listen(port, LOOPBACK).onSuccess(listening -> port = listening.actualPort());
    }

    private void accept(HttpConnection connection) {
        connections.add(connection);
        connection.closeHandler(ignored -> connections.remove(connection));
        if (connections.size() > options.connections()) {
            executionLog.recordRefusal("connections");
            connection.close();
        }
    }

    private void handle(HttpServerRequest request) {
        if (!RUN_PATH.equals(request.path())) {
            request.body().onSuccess(body -> control.handle(request, body));
        } else if (request.method() != HttpMethod.POST) {
            HttpResponses.json(request.response(), 405, RecordCodec.encode("use POST"));
        } else {
            Instant arrived = Instant.now();
            request.body().onSuccess(body -> handleRun(request, arrived, body));
        }
    }

    /** Compares the start limit with the arrival of the headers, because a long body may take longer to arrive. */
    private void handleRun(HttpServerRequest request, Instant arrived, Buffer body) {
        Optional<ExecutionRequest> decoded = ExecutionRequest.decode(request.headers(), body);
        if (decoded.isEmpty()) {
            HttpResponses.json(request.response(), 400, RecordCodec.encode("a Basilswitch header is missing"));
            return;
        }
        ExecutionRequest run = decoded.get();
        putRequestHeaders(run, request.response());
        if (run.startBefore().filter(arrived::isAfter).isPresent()) {
            executionLog.recordRefusal("late");
            HttpResponses.json(request.response(), 412, RecordCodec.encode("the time to start has passed"));
        } else if (draining || activeExecutions.size() >= options.slots()) {
            executionLog.recordRefusal(draining ? "draining" : "slots");
            request.response().putHeader(REFUSAL_HEADER, draining ? "leaving" : "busy");
            HttpResponses.json(request.response(), 503, RecordCodec.encode("not started"));
        } else {
            startExecution(run, request.response());
        }
    }

    private static void putRequestHeaders(ExecutionRequest run, HttpServerResponse response) {
        response.putHeader(ExecutionRequest.REQUEST_ID, run.requestId());
        response.putHeader(ExecutionRequest.ATTEMPT, Integer.toString(run.attempt()));
    }

    private void startExecution(ExecutionRequest request, HttpServerResponse response) {
        ExecutionRecord run = new ExecutionRecord(
                request.requestId(),
                request.attempt(),
                request.team(),
                request.queue(),
                request.body().testId(),
                options.name(),
                nowMicros(),
                0);
        ActiveExecution started = new ActiveExecution(request, response, executionLog.recordStart(run));
        activeExecutions.add(started);
        WorkerFaults current = faults.get();
        if (current.failEverything()) {
            endExecution(started);
            HttpResponses.json(response, 500, RecordCodec.encode("this worker fails everything"));
        } else if (!current.hang()) {
            vertx.setTimer(serviceMs(request, current), ignored -> finishExecution(started));
        }
    }

    private long serviceMs(ExecutionRequest request, WorkerFaults current) {
        double ms = request.serviceTime()
                .map(time -> (double) time.toNanos() / Duration.ofMillis(1).toNanos())
                .orElseGet(() -> options.serviceTime().drawMs(random));
        return Math.max(1, Math.round(ms * current.slowFactor()));
    }

    private void finishExecution(ActiveExecution run) {
        if (!endExecution(run)) {
            return;
        }
        WorkerFaults current = faults.get();
        if (current.lateMs() > 0) {
            vertx.setTimer(current.lateMs(), ignored -> respond(run, run.request()));
        } else if (current.crossed()) {
            respondCrossed(run);
        } else {
            respond(run, run.request());
        }
    }

    private void respondCrossed(ActiveExecution run) {
        if (pendingCrossed.isEmpty()) {
            pendingCrossed = Optional.of(run);
            return;
        }
        ActiveExecution other = pendingCrossed.get();
        pendingCrossed = Optional.empty();
        respond(run, other.request());
        respond(other, run.request());
    }

    private void respond(ActiveExecution run, ExecutionRequest content) {
        if (!run.response().ended() && !run.response().closed()) {
            putRequestHeaders(content, run.response());
        }
        LoadResponse answer =
                new LoadResponse(content.body().testId(), content.requestId(), content.attempt(), options.name());
        HttpResponses.json(run.response(), 200, RecordCodec.encode(answer));
    }

    private boolean endExecution(ActiveExecution run) {
        boolean first = activeExecutions.remove(run);
        if (first) {
            executionLog.recordEnd(run.number(), nowMicros());
        }
        return first;
    }

    private static long nowMicros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
    }

    /** Returns the name of the host. */
    public String name() {
        return options.name();
    }

    /** Returns the port that the worker listens on, or last listened on if it is stopped. */
    public int port() {
        return port;
    }

    /** Returns the faults set last. */
    public WorkerFaults faults() {
        return faults.get();
    }

    /** Sets the faults; they apply to requests that start or end from now on. */
    public void setFaults(WorkerFaults next) {
        faults.set(next);
    }

    /** Refuses new requests with status 503, or accepts them again; running requests complete. */
    public void setDraining(boolean next) {
        draining = next;
    }

    ExecutionLog executionLog() {
        return executionLog;
    }

    /** Returns the number of running requests. */
    public Future<Integer> running() {
        Promise<Integer> promise = Promise.promise();
        context.runOnContext(ignored -> promise.complete(activeExecutions.size()));
        return promise.future();
    }

    /** Stops as on a power failure: running requests end without a response and new connections are refused. */
    public Future<Void> stopAbruptly() {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> {
            Set.copyOf(activeExecutions).forEach(this::endExecution);
            pendingCrossed = Optional.empty();
            tasks.clear();
            agent.startNextBoot();
            Set.copyOf(connections).forEach(HttpConnection::close);
            server.close().onComplete(closed -> promise.complete());
        });
        return promise.future();
    }

    /** Returns the options that the worker was started with. */
    WorkerOptions options() {
        return options;
    }

    /** Returns the number of running requests; call on the worker's event loop only. */
    int runningCount() {
        return activeExecutions.size();
    }

    /** Returns the number of boots and of requests interrupted by reboot calls. */
    public Future<BootCount> boots() {
        Promise<BootCount> promise = Promise.promise();
        context.runOnContext(ignored -> promise.complete(new BootCount(agent.boots(), agent.cutByReboots())));
        return promise.future();
    }

    /**
     * Boot counters of a host.
     *
     * @param boots boots so far, including the first one
     * @param cutByReboots requests that were running when a reboot call arrived
     */
    public record BootCount(long boots, int cutByReboots) {}

    /** Listens again on the same port after {@link #stopAbruptly}. */
    public Future<Void> restart() {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> listen().<Void>mapEmpty().onComplete(promise));
        return promise.future();
    }

    /** Stops abruptly and listens again after the down time, which is at least 1 ms. */
    public Future<Void> reboot(Duration downTime) {
        Promise<Void> promise = Promise.promise();
        stopAbruptly()
                .onSuccess(ignored -> vertx.setTimer(
                        Math.max(1, downTime.toMillis()),
                        ignoredTimer -> restart().onComplete(promise)));
        return promise.future();
    }

    private record ActiveExecution(ExecutionRequest request, HttpServerResponse response, long number) {
        @Override
        public boolean equals(Object other) {
            return other instanceof ActiveExecution run && run.number == number;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(number);
        }
    }
}
