package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minion (backend server), as PROTOCOL.md describes it under "Running work items". Its clock is exact. */
final class Minion implements AutoCloseable {
    /** Longest lease, bounds.holdMaxMs. */
    static final long HOLD_MAX_MS = 10_000;

    private static final long HEARTBEAT_MS = 1500;
    private static final long STOP_MS = 100;
    /** Time until a work item that lasts is at work. */
    private static final long STARTUP_MS = 300;

    final String id;
    private final String service;
    private final String rack;
    private final Record record;
    private final Store store;
    private final Behaviour behaviour;
    private final Http http;
    private final Map<String, Work> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Listener listener;
    private long bornMs = System.currentTimeMillis();
    private long bornAtMs = Record.nowMs();
    private long nextEnd = 1;
    private long fence;
    private long leaseUntilMs;
    private long seq;
    private boolean closed;
    /** Whether starts are answered with 503, as by an unhealthy minion, which has then done nothing. */
    volatile boolean rejecting;

    /** Decides how long a run works and how it ends. */
    interface Behaviour {
        Outcome outcome(String task, int run);
    }

    /** Told of each start and of each end that is listed. */
    interface Listener {
        default void started(Minion minion, String task, int run) {}

        default void ended(Minion minion, String task, int run, String how) {}
    }

    /**
     * Outcome of a run.
     *
     * @param workMs time of the work, ms; 0 for one that lasts
     * @param how its end
     */
    record Outcome(long workMs, String how) {}

    private record End(long number, String task, int run, String how) {}

    private final class Work {
        private final String task;
        private final int run;
        private final Outcome outcome;
        private final long startedMs = Record.nowMs();
        private long stopAtMs = Long.MAX_VALUE;

        private Work(String task, int run, Outcome outcome) {
            this.task = task;
            this.run = run;
            this.outcome = outcome;
        }

        private int percent() {
            long elapsed = Record.nowMs() - startedMs;
            return outcome.workMs() == 0
                    ? (elapsed >= STARTUP_MS ? 100 : 0)
                    : (int) Math.min(99, 100 * elapsed / outcome.workMs());
        }
    }

    Minion(String id, String service, String rack, Record record, Store store, Behaviour behaviour, Listener listener)
            throws IOException {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.record = record;
        this.store = store;
        this.behaviour = behaviour;
        this.listener = listener;
        this.http = Http.listen(this::handle);
        Thread.startVirtualThread(this::work);
    }

    static ObjectNode capacity() {
        return Http.object().put("cpu", 64_000).put("memMb", 262_144).put("gpu", 0);
    }

    private void work() {
        long nextEntryMs = 0;
        while (true) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                if (Record.nowMs() >= nextEntryMs) {
                    writeEntry();
                    nextEntryMs = Record.nowMs() + HEARTBEAT_MS;
                }
                boolean lapsed = !running.isEmpty() && clockMs() >= leaseUntilMs;
                for (Work work : new ArrayList<>(running.values())) {
                    if (lapsed) {
                        end(work, "lapsed");
                    } else if (Record.nowMs() >= work.stopAtMs) {
                        end(work, "stopped");
                    } else if (work.outcome.workMs() > 0 && Record.nowMs() >= work.startedMs + work.outcome.workMs()) {
                        end(work, work.outcome.how());
                    }
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void writeEntry() {
        ObjectNode entry = Http.object()
                .put("service", service)
                .put("address", http.address())
                .put("zone", "zone-a")
                .put("version", "1")
                .put("slots", 8)
                .put("state", "ready")
                .put("coldLeftMs", 0)
                .put("seq", ++seq)
                .put("born", bornMs);
        entry.set("capacity", capacity());
        entry.putArray("labels").add("a").add(rack);
        store.put("servers/" + id, entry.toString());
    }

    /** Ends a run that is at work; the end is listed from now on. */
    synchronized boolean endNow(String task, String how) {
        Work work = running.get(task);
        if (work != null) {
            end(work, how);
        }
        return work != null;
    }

    private void end(Work work, String how) {
        running.remove(work.task);
        highestEnded.merge(work.task, work.run, Math::max);
        End end = new End(nextEnd++, work.task, work.run, how);
        ends.add(end);
        record.line("minion " + id + ": end " + end.number() + " of " + work.task + " run " + work.run + " " + how);
        listener.ended(this, work.task, work.run, how);
        notifyAll();
    }

    private long clockMs() {
        return Record.nowMs() - bornAtMs;
    }

    synchronized boolean isRunning(String task) {
        return running.containsKey(task);
    }

    synchronized int runningCount() {
        return running.size();
    }

    private Http.Reply handle(Http.Call call) throws InterruptedException {
        synchronized (this) {
            if (!id.equals(call.header("Expect-Instance"))) {
                return reply(421);
            }
            JsonNode body = call.body();
            long token = body.path("fencingToken").asLong(0);
            if (token < fence) {
                record.line("minion " + id + ": " + call.path() + " with fence " + token + " below " + fence);
                return rejected("fence");
            }
            fence = token;
            return switch (call.path()) {
                case "/run-start" -> start(body);
                case "/run-stop" -> stop(body);
                case "/hold" -> hold(body);
                case "/pace" -> reply(200);
                default -> reply(404);
            };
        }
    }

    private Http.Reply start(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        long untilMs = body.path("untilMs").asLong();
        if (rejecting) {
            record.line("minion " + id + ": start of " + task + " run " + run + " answered with 503");
            return reply(503);
        }
        Work known = running.get(task);
        if (known != null && known.run == run) {
            extend(untilMs);
            return reply(200);
        }
        if (run <= highestEnded.getOrDefault(task, 0)) {
            extend(untilMs);
            return rejected("old");
        }
        if (untilMs <= clockMs()) {
            return rejected("late");
        }
        extend(untilMs);
        running.put(task, new Work(task, run, behaviour.outcome(task, run)));
        record.line("minion " + id + ": start of " + task + " run " + run + " fence " + fence);
        listener.started(this, task, run);
        return reply(200);
    }

    private Http.Reply stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        record.line("minion " + id + ": stop of " + task + " run " + run);
        Work known = running.get(task);
        if (known != null && known.run <= run) {
            known.stopAtMs = Math.min(known.stopAtMs, Record.nowMs() + STOP_MS);
        } else {
            highestEnded.merge(task, run, Math::max);
        }
        return reply(200);
    }

    private Http.Reply hold(JsonNode body) throws InterruptedException {
        long acknowledged = body.path("acknowledged").asLong();
        for (End end : ends) {
            if (end.number() <= acknowledged) {
                record.line("minion " + id + ": end " + end.number() + " of " + end.task() + " run " + end.run() + " "
                        + end.how() + " is acknowledged");
            }
        }
        ends.removeIf(end -> end.number() <= acknowledged);
        if (body.has("untilMs")) {
            extend(body.path("untilMs").asLong());
        }
        long waitUntilMs = Record.nowMs() + Math.min(2000, body.path("waitMs").asLong());
        while (ends.isEmpty() && !closed && Record.nowMs() < waitUntilMs) {
            wait(Math.max(1, waitUntilMs - Record.nowMs()));
        }
        ObjectNode answer = Http.object().put("clockMs", clockMs()).put("born", bornMs);
        ArrayNode list = answer.putArray("running");
        running.values().forEach(work -> list.addArray()
                .add(work.task)
                .add(work.run)
                .add("")
                .add(work.percent())
                .add(work.outcome.workMs() == 0 ? 5 : 1000));
        ArrayNode finished = answer.putArray("finished");
        ends.stream()
                .limit(500)
                .forEach(end -> finished.addArray()
                        .add(end.number())
                        .add(end.task())
                        .add(end.run())
                        .add(end.how())
                        .add(""));
        return new Http.Reply(200, answer);
    }

    private void extend(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + HOLD_MAX_MS));
    }

    private Http.Reply reply(int status) {
        return new Http.Reply(status, Http.object().put("clockMs", clockMs()).put("born", bornMs));
    }

    private Http.Reply rejected(String reason) {
        return new Http.Reply(409, Http.object().put("clockMs", clockMs()).put("born", bornMs).put("reason", reason));
    }

    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
        http.close();
    }
}
