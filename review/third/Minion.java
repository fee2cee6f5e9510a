package third;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of a minion. Its work items take as long as the case says; a work item that lasts is at work after a short
 * startup.
 */
final class Minion {
    private static final long HOLD_MAX_MS = 10_000;
    private static final long STARTUP_MS = 300;
    private static final long HEARTBEAT_MS = 1500;

    /** How long a work item takes on sound minions, in ms; negative for one that lasts. */
    interface Durations {
        long durationMs(String task, String spec);
    }

    /** Checks the ticket of a start; a case without advice takes all. */
    interface Tickets {
        boolean isValid(String task, String ticket, String minion, long born);
    }

    private static final class Run {
        private String task;
        private int number;
        private long startedMs;
        private long durationMs;

        private int percent(long nowMs) {
            if (durationMs < 0) {
                return nowMs - startedMs >= STARTUP_MS ? 100 : 0;
            }
            return (int) Math.min(99, (nowMs - startedMs) * 100 / Math.max(1, durationMs));
        }
    }

    private final String id;
    private final String service;
    private final String rack;
    private final Store store;
    private final Record record;
    private final Durations durations;
    private final Tickets tickets;
    private final long capacityCpu = 64_000;
    private final long capacityMemMb = 262_144;
    private HttpServer server;
    private int port;
    private boolean up;
    private long life;
    private long born;
    private long startNanos;
    private long seq;
    private long fence;
    private long untilMs;
    private long lastEnd;
    private final Map<String, Run> running = new HashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final List<Object[]> ended = new ArrayList<>();

    Minion(
            String id,
            String service,
            String rack,
            Store store,
            Record record,
            Durations durations,
            Tickets tickets) {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.store = store;
        this.record = record;
        this.durations = durations;
        this.tickets = tickets;
    }

    String id() {
        return id;
    }

    /** Returns the minion that comes after this one on its machine, under another id. */
    Minion successor() {
        return new Minion(id + "x", service, rack, store, record, durations, tickets);
    }

    synchronized long born() {
        return born;
    }

    /** Starts a life of the minion, at the address of its former one. */
    synchronized void start() throws IOException {
        life++;
        born = System.currentTimeMillis();
        startNanos = System.nanoTime();
        seq = 0;
        fence = 0;
        untilMs = 0;
        lastEnd = 0;
        running.clear();
        barred.clear();
        ended.clear();
        up = true;
        server = Json.listen(port, this::handle);
        port = server.getAddress().getPort();
        record.add(id, "starts, born " + born);
        long thisLife = life;
        Thread.ofVirtual().start(() -> beat(thisLife));
        Thread.ofVirtual().start(() -> work(thisLife));
    }

    /** Ends this life at once, with all that runs; the entry in the store goes after three heartbeats of silence. */
    synchronized void crash() {
        up = false;
        life++;
        record.add(id, "crashes with " + running.keySet());
        running.clear();
        server.stop(0);
        notifyAll();
        long ended = life;
        Thread.ofVirtual().start(() -> {
            sleep(3 * HEARTBEAT_MS);
            synchronized (this) {
                if (life == ended) {
                    store.remove("servers/" + id);
                }
            }
        });
    }

    /** Has all running work items fail by themselves. */
    synchronized void failAll() {
        long nowMs = clockMs();
        new ArrayList<>(running.values()).forEach(run -> end(run, "failed", nowMs));
    }

    /** Returns the work items that run, whose names begin so. */
    synchronized int running(String prefix) {
        return (int) running.keySet().stream().filter(task -> task.startsWith(prefix)).count();
    }

    private long clockMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void beat(long thisLife) {
        while (true) {
            synchronized (this) {
                if (life != thisLife) {
                    return;
                }
                seq++;
                ObjectNode entry = Json.object()
                        .put("service", service)
                        .put("address", "127.0.0.1:" + port)
                        .put("zone", "z1")
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldLeftMs", 0);
                entry.putObject("capacity").put("cpu", capacityCpu).put("memMb", capacityMemMb).put("gpu", 0);
                entry.putArray("labels").add("a").add(rack);
                entry.put("clockMs", clockMs()).put("seq", seq).put("born", born);
                store.put("servers/" + id, entry.toString());
            }
            sleep(HEARTBEAT_MS);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends what is done and, when the lease has passed, all that runs. */
    private void work(long thisLife) {
        while (true) {
            synchronized (this) {
                if (life != thisLife) {
                    return;
                }
                long nowMs = clockMs();
                for (Run run : new ArrayList<>(running.values())) {
                    if (nowMs > untilMs) {
                        end(run, "lapsed", nowMs);
                    } else if (run.durationMs >= 0 && nowMs - run.startedMs >= run.durationMs) {
                        end(run, "done", nowMs);
                    }
                }
            }
            sleep(10);
        }
    }

    private void end(Run run, String how, long nowMs) {
        running.remove(run.task);
        barred.merge(run.task, run.number, Math::max);
        ended.add(new Object[] {++lastEnd, run.task, run.number, how});
        record.add(
                id,
                "run " + run.task + "#" + run.number + " ends " + how + " after " + (nowMs - run.startedMs) + " ms");
        notifyAll();
    }

    private void handle(HttpExchange exchange, JsonNode body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
        ObjectNode answer = Json.object();
        int status;
        synchronized (this) {
            if (!up) {
                exchange.close();
                return;
            }
            long thisLife = life;
            if (path.equals("/healthz")) {
                exchange.getResponseHeaders().set("Instance-Id", id);
                status = 200;
            } else if (expected != null && !expected.equals(id)) {
                status = 421;
            } else if (body.path("fencingToken").asLong() < fence) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                fence = body.path("fencingToken").asLong();
                status = switch (path) {
                    case "/run-start" -> runStart(body, answer);
                    case "/run-stop" -> runStop(body);
                    case "/pace" -> 200;
                    case "/hold" -> hold(body, answer);
                    default -> 404;
                };
            }
            if (life != thisLife) {
                exchange.close();
                return;
            }
            answer.put("clockMs", clockMs());
        }
        Json.respond(exchange, status, answer);
    }

    private void extend(JsonNode body) {
        if (body.has("untilMs")) {
            untilMs = Math.max(untilMs, Math.min(body.path("untilMs").asLong(), clockMs() + HOLD_MAX_MS));
        }
    }

    private int runStart(JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run known = running.get(task);
        if (known != null && known.number == number) {
            return 200;
        }
        String reason = "";
        if (body.path("untilMs").asLong() <= clockMs()) {
            reason = "late";
        } else if (!tickets.isValid(task, body.path("ticket").asText(""), id, born)) {
            reason = "ticket";
        } else if (known != null || number <= barred.getOrDefault(task, 0)) {
            reason = "old";
        }
        if (!reason.isEmpty()) {
            if (reason.equals("old")) {
                extend(body);
            }
            record.add(id, "start of " + task + "#" + number + " rejected: " + reason);
            answer.put("reason", reason);
            return 409;
        }
        extend(body);
        Run run = new Run();
        run.task = task;
        run.number = number;
        
        run.startedMs = clockMs();
        run.durationMs = durations.durationMs(task, body.path("spec").asText());
        running.put(task, run);
        record.add(id, "run " + task + "#" + number + " starts");
        return 200;
    }

    private int runStop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        barred.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number == number) {
            end(run, "stopped", clockMs());
        }
        return 200;
    }

    private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
        long acknowledged = body.path("acknowledged").asLong();
        ended.removeIf(end -> (long) end[0] <= acknowledged);
        extend(body);
        long thisLife = life;
        long endNanos = System.nanoTime() + Math.min(2000, body.path("waitMs").asLong()) * 1_000_000;
        while (ended.isEmpty() && life == thisLife && System.nanoTime() - endNanos < 0) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        answer.put("born", born);
        ArrayNode rows = answer.putArray("running");
        long nowMs = clockMs();
        for (Run run : running.values()) {
            rows.addArray().add(run.task).add(run.number).add("").add(run.percent(nowMs)).add(0);
        }
        ArrayNode ends = answer.putArray("finished");
        ended.stream().limit(500).forEach(end -> ends.addArray()
                .add((long) end[0])
                .add((String) end[1])
                .add((int) end[2])
                .add((String) end[3])
                .add(""));
        return 200;
    }
}
