package second;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of a minion, as PROTOCOL.md describes it. The spec of a job names the duration of its work items as {@code
 * ms=N}; work items that last run until they are stopped or lapse.
 */
final class Minion {
    private static final long HOLD_MAX_MS = 10_000;
    private static final long STOP_MS = 100;

    final String id;
    final long bornMs = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final int cpu;
    private final long memMb;
    private final Journal journal;
    private final Map<String, Work> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<ArrayNode> finished = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long leaseMs;
    private boolean over;

    /** A run in progress. */
    static final class Work {
        final String task;
        final int run;
        final int cpu;
        final long memMb;
        final long startMs;
        final long endMs;
        long stopMs = Long.MAX_VALUE;

        private Work(String task, int run, int cpu, long memMb, long startMs, long endMs) {
            this.task = task;
            this.run = run;
            this.cpu = cpu;
            this.memMb = memMb;
            this.startMs = startMs;
            this.endMs = endMs;
        }
    }

    Minion(String id, int cpu, long memMb, Journal journal) {
        this.id = id;
        this.cpu = cpu;
        this.memMb = memMb;
        this.journal = journal;
    }

    private long clockMs() {
        return 1000 + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    /** Ends this life; everything that runs on it ends. */
    synchronized List<String> end(String reason) {
        advance();
        over = true;
        List<String> ended = new ArrayList<>();
        for (Work work : running.values()) {
            ended.add(work.task + "#" + work.run);
            journal.add("gone " + work.task + "#" + work.run + " at " + id + ": " + reason);
        }
        running.clear();
        notifyAll();
        return ended;
    }

    synchronized int runningCount() {
        advance();
        return running.size();
    }

    /** Returns the runs of work items in progress now, as task and run. */
    synchronized Map<String, Integer> runs() {
        advance();
        Map<String, Integer> runs = new HashMap<>();
        running.values().forEach(work -> runs.put(work.task, work.run));
        return runs;
    }

    /** Ends what is due: completed and stopped runs, and all runs when the lease has expired. */
    synchronized void advance() {
        long now = clockMs();
        for (Work work : new ArrayList<>(running.values())) {
            long until = Math.min(Math.min(work.endMs, work.stopMs), leaseMs);
            if (now >= until) {
                endRun(work, until == leaseMs ? "lapsed" : until == work.stopMs ? "stopped" : "done");
            }
        }
    }

    private void endRun(Work work, String how) {
        running.remove(work.task);
        highestEnded.merge(work.task, work.run, Math::max);
        finished.add(Json.MAPPER
                .createArrayNode()
                .add(++lastEnd)
                .add(work.task)
                .add(work.run)
                .add(how)
                .add(""));
        journal.add(how + " " + work.task + "#" + work.run + " at " + id);
        notifyAll();
    }

    void handle(HttpExchange exchange, JsonNode body) throws Exception {
        String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
        ObjectNode answer = Json.object();
        int status;
        synchronized (this) {
            if (over) {
                exchange.close();
                return;
            }
            advance();
            if (expected != null && !expected.equals(id)) {
                status = 421;
            } else if (body.path("fencingToken").asLong() < fence) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                fence = body.path("fencingToken").asLong();
                status = switch (exchange.getRequestURI().getPath()) {
                    case "/hold" -> hold(body, answer);
                    case "/run-start" -> start(body, answer);
                    case "/run-stop" -> stop(body);
                    case "/pace" -> 200;
                    default -> 404;
                };
            }
            answer.put("clockMs", clockMs());
        }
        Json.answer(exchange, status, answer);
    }

    private void extendLease(JsonNode body) {
        if (body.has("untilMs")) {
            leaseMs = Math.max(leaseMs, Math.min(body.path("untilMs").asLong(), clockMs() + HOLD_MAX_MS));
        }
    }

    private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
        extendLease(body);
        long acknowledged = body.path("acknowledged").asLong();
        finished.removeIf(end -> end.path(0).asLong() <= acknowledged);
        long untilMs = clockMs() + body.path("waitMs").asLong();
        while (finished.isEmpty() && clockMs() < untilMs && !over) {
            wait(Math.max(1, Math.min(10, untilMs - clockMs())));
            advance();
        }
        answer.put("born", bornMs);
        ArrayNode rows = answer.putArray("running");
        for (Work work : running.values()) {
            boolean lasts = work.endMs == Long.MAX_VALUE;
            long percent = lasts ? 100 : 100 * (clockMs() - work.startMs) / Math.max(1, work.endMs - work.startMs);
            rows.addArray()
                    .add(work.task)
                    .add(work.run)
                    .add("")
                    .add(Math.min(lasts ? 100 : 99, percent))
                    .add(work.cpu);
        }
        ArrayNode ends = answer.putArray("finished");
        finished.forEach(ends::add);
        return 200;
    }

    private int start(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        extendLease(body);
        Work present = running.get(task);
        if (present != null && present.run == run) {
            return 200;
        }
        if (present != null || run <= highestEnded.getOrDefault(task, 0)) {
            answer.put("reason", "old");
            return 409;
        }
        if (body.path("untilMs").asLong() <= clockMs()) {
            answer.put("reason", "late");
            return 409;
        }
        Map<String, Long> spec = new HashMap<>();
        for (String pair : body.path("spec").asText().split(" ")) {
            spec.put(pair.substring(0, pair.indexOf('=')), Long.parseLong(pair.substring(pair.indexOf('=') + 1)));
        }
        int usedCpu = running.values().stream().mapToInt(work -> work.cpu).sum();
        long usedMem = running.values().stream().mapToLong(work -> work.memMb).sum();
        int needCpu = spec.getOrDefault("cpu", 1000L).intValue();
        long needMem = spec.getOrDefault("mem", 100L);
        if (usedCpu + needCpu > cpu || usedMem + needMem > memMb) {
            answer.put("reason", "room");
            return 409;
        }
        long now = clockMs();
        long endMs = spec.getOrDefault("ms", 0L) == 0 ? Long.MAX_VALUE : now + spec.get("ms");
        running.put(task, new Work(task, run, needCpu, needMem, now, endMs));
        journal.add("start " + task + "#" + run + " at " + id + " fence=" + fence);
        return 200;
    }

    private int stop(JsonNode body) {
        String task = body.path("task").asText();
        int run = body.path("run").asInt();
        Work present = running.get(task);
        if (present != null && present.run <= run) {
            present.stopMs = Math.min(present.stopMs, clockMs() + STOP_MS);
        }
        highestEnded.merge(task, run, Math::max);
        return 200;
    }
}
