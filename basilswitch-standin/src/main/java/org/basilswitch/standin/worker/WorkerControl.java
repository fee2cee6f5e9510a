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
 * The worker's paths besides running requests.
 *
 * <p>{@code /control/faults} reads and sets {@link WorkerFaults}; {@code /control/drain} and {@code /control/resume}
 * stop and start accepting; {@code /control/stop} and {@code /control/reboot?downMs=} cut everything;
 * {@code GET /v1/host} and {@code POST /v1/host/reboot} are the {@link HostAgent}'s; {@code GET /control/record} gives
 * the {@link RunRecord.Snapshot}. Tasks are kept under {@code /v1/tasks}, usage is reported by {@code GET /v1/usage}.
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
            case "/control/faults" -> faults(request, body);
            case "/control/record" -> ok(request, worker.record().snapshot());
            case "/control/counts" -> ok(request, worker.record().teams());
            case "/control/drain" -> drain(request, true);
            case "/control/resume" -> drain(request, false);
            case "/control/stop" -> {
                ok(request, "stopping");
                worker.stopNow();
            }
            case "/control/reboot" -> {
                ok(request, "rebooting");
                worker.reboot(downTime(request));
            }
            case "/v1/host" -> ok(request, agent.report());
            case "/v1/host/reboot" -> reboot(request, body);
            case "/v1/usage" -> ok(request, tasks.usageReport());
            default -> tasks(request, body);
        }
    }

    private void reboot(HttpServerRequest request, Buffer body) {
        Optional<HostAgent.RebootCall> call = RecordCodec.decode(body.getBytes(), HostAgent.RebootCall.class);
        if (call.isEmpty() || !agent.ends(call.get())) {
            refuse(request, 409, "another boot");
            return;
        }
        ok(request, "rebooting");
        agent.countCut(worker.runningNow());
        worker.reboot(worker.options().rebootTime());
    }

    private void faults(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.GET) {
            ok(request, worker.faults());
            return;
        }
        Optional<WorkerFaults> next = ControlJson.merge(worker.faults(), body).filter(WorkerFaults::valid);
        next.ifPresentOrElse(
                valid -> {
                    worker.setFaults(valid);
                    ok(request, valid);
                },
                () -> refuse(request, 400, "send fields of GET /control/faults"));
    }

    private void drain(HttpServerRequest request, boolean draining) {
        worker.setDraining(draining);
        ok(request, draining ? "draining" : "accepting");
    }

    private static Duration downTime(HttpServerRequest request) {
        String downMs = request.getParam("downMs");
        return Duration.ofMillis(
                downMs != null && downMs.matches("\\d{1,9}") ? Long.parseLong(downMs) : DEFAULT_DOWN_MS);
    }

    private void tasks(HttpServerRequest request, Buffer body) {
        if (!request.path().startsWith(TASKS)) {
            refuse(request, 404, "unknown path");
            return;
        }
        if (request.path().equals(TASKS)) {
            startTask(request, body);
            return;
        }
        String[] parts = request.path().substring(TASKS.length() + 1).split("/", 2);
        Optional<TaskTable.Task> changed = parts.length == 2 ? steer(parts[0], parts[1], body) : tasks.find(parts[0]);
        changed.ifPresentOrElse(task -> ok(request, task), () -> refuse(request, 404, "no such task or step"));
    }

    private void startTask(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.GET) {
            ok(request, tasks.all());
            return;
        }
        Optional<TaskTable.TaskSpec> spec =
                RecordCodec.decode(body.getBytes(), TaskTable.TaskSpec.class).filter(TaskTable.TaskSpec::valid);
        if (spec.isEmpty()) {
            refuse(request, 400, "send the fields of a task");
            return;
        }
        ok(request, tasks.start(spec.get()));
    }

    private Optional<TaskTable.Task> steer(String id, String step, Buffer body) {
        return switch (step) {
            case "lease" -> tasks.renew(id);
            case "checkpoint" -> tasks.checkpoint(id);
            case "stop" -> tasks.stop(id);
            case "throttle" ->
                RecordCodec.decode(body.getBytes(), Throttle.class)
                        .flatMap(throttle -> tasks.throttle(id, throttle.ratio()));
            default -> Optional.empty();
        };
    }

    private static void ok(HttpServerRequest request, Object document) {
        HttpResponses.json(request.response(), 200, RecordCodec.encode(document));
    }

    private static void refuse(HttpServerRequest request, int status, String remedy) {
        HttpResponses.json(request.response(), status, RecordCodec.encode(remedy));
    }

    /** Part of its full speed at which a task may run, from 0 to 1. */
    record Throttle(double ratio) {}
}
