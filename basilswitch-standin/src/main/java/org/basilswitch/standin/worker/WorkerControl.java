package org.basilswitch.standin.worker;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.ControlJson;
import org.basilswitch.standin.HttpResponses;

/**
 * Handles all paths of a worker except the one that runs requests.
 *
 * <p>{@code /control/faults} reads and sets {@link WorkerFaults}; {@code /control/drain} and {@code /control/resume}
 * disable and enable new requests; {@code /control/stop} and {@code /control/reboot?downMs=} stop the worker abruptly;
 * {@code GET /v1/host} and {@code POST /v1/host/reboot} belong to the {@link HostAgent}; {@code GET /control/record}
 * returns an {@link ExecutionLog.Snapshot}. Tasks are managed under {@code /v1/tasks}; {@code GET /v1/usage} reports
 * their usage.
 */
final class WorkerControl {
    private static final String TASKS = "/v1/tasks";
    private static final long DEFAULT_DOWN_MS = 5000;

    private final WorkerServer worker;
    private final TaskTable tasks;
    private final HostAgent agent;

    private WorkerControl(WorkerServer worker, TaskTable tasks, HostAgent agent) {
        this.worker = worker;
        this.tasks = tasks;
        this.agent = agent;
    }

    static WorkerControl of(WorkerServer worker, TaskTable tasks, HostAgent agent) {
        return new WorkerControl(worker, tasks, agent);
    }

    void handle(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/control/faults" -> handleFaults(request, body);
            case "/control/record" -> respondOk(request, worker.executionLog().snapshot());
            case "/control/counts" -> respondOk(request, worker.executionLog().teams());
            case "/control/drain" -> handleDrain(request, true);
            case "/control/resume" -> handleDrain(request, false);
            case "/control/stop" -> {
                respondOk(request, "stopping");
                worker.stopAbruptly();
            }
            case "/control/reboot" -> {
                respondOk(request, "rebooting");
                worker.reboot(downTime(request));
            }
            case "/v1/host" -> respondOk(request, agent.report());
            case "/v1/host/reboot" -> handleReboot(request, body);
            case "/v1/usage" -> respondOk(request, tasks.usageReport());
            default -> handleTask(request, body);
        }
    }

    private void handleReboot(HttpServerRequest request, Buffer body) {
        Optional<HostAgent.RebootCall> call = RecordCodec.decode(body.getBytes(), HostAgent.RebootCall.class);
        if (call.isEmpty() || !agent.isForCurrentBoot(call.get())) {
            respondError(request, 409, "another boot");
            return;
        }
        respondOk(request, "rebooting");
        agent.countInterruptedRequests(worker.runningCount());
        worker.reboot(worker.options().rebootTime());
    }

    private void handleFaults(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.GET) {
            respondOk(request, worker.faults());
            return;
        }
        Optional<WorkerFaults> next = ControlJson.merge(worker.faults(), body).filter(WorkerFaults::valid);
        next.ifPresentOrElse(
                valid -> {
                    worker.setFaults(valid);
                    respondOk(request, valid);
                },
                () -> respondError(request, 400, "send fields of GET /control/faults"));
    }

    private void handleDrain(HttpServerRequest request, boolean draining) {
        worker.setDraining(draining);
        respondOk(request, draining ? "draining" : "accepting");
    }

    private static Duration downTime(HttpServerRequest request) {
        String downMs = request.getParam("downMs");
        return Duration.ofMillis(
                downMs != null && downMs.matches("\\d{1,9}") ? Long.parseLong(downMs) : DEFAULT_DOWN_MS);
    }

    private void handleTask(HttpServerRequest request, Buffer body) {
        if (!request.path().startsWith(TASKS)) {
            respondError(request, 404, "unknown path");
            return;
        }
        if (request.path().equals(TASKS)) {
            startTask(request, body);
            return;
        }
        String[] parts = request.path().substring(TASKS.length() + 1).split("/", 2);
        Optional<TaskTable.Task> changed =
                parts.length == 2 ? applyAction(parts[0], parts[1], body) : tasks.find(parts[0]);
        changed.ifPresentOrElse(
                task -> respondOk(request, task), () -> respondError(request, 404, "no such task or step"));
    }

    private void startTask(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.GET) {
            respondOk(request, tasks.all());
            return;
        }
        Optional<TaskTable.TaskSpec> spec =
                RecordCodec.decode(body.getBytes(), TaskTable.TaskSpec.class).filter(TaskTable.TaskSpec::valid);
        if (spec.isEmpty()) {
            respondError(request, 400, "send the fields of a task");
            return;
        }
        respondOk(request, tasks.start(spec.get()));
    }

    private Optional<TaskTable.Task> applyAction(String id, String action, Buffer body) {
        return switch (action) {
            case "lease" -> tasks.renew(id);
            case "checkpoint" -> tasks.checkpoint(id);
            case "stop" -> tasks.stop(id);
            case "throttle" ->
                RecordCodec.decode(body.getBytes(), Throttle.class)
                        .flatMap(throttle -> tasks.throttle(id, throttle.ratio()));
            default -> Optional.empty();
        };
    }

    private static void respondOk(HttpServerRequest request, Object document) {
        HttpResponses.json(request.response(), 200, RecordCodec.encode(document));
    }

    private static void respondError(HttpServerRequest request, int status, String message) {
        HttpResponses.json(request.response(), status, RecordCodec.encode(message));
    }

    /** Fraction of its full speed at which a task may run, from 0 to 1. */
    record Throttle(double ratio) {}
}
