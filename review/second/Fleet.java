package second;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of the machines and their minions, and of the platform's interface for machines. Fence numbers of orders are
 * not checked, as on deployments where {@code fencingEnforced} is false.
 */
final class Fleet {
    static final int CPU = 64_000;
    static final long MEM_MB = 262_144;
    static final String STANDBY = "rest";
    private static final long MOVE_MS = 1500;
    private static final long UPKEEP_MS = 2000;
    private static final long HEARTBEAT_MS = 1500;

    private final Store store;
    private final Journal journal;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final HttpServer cloud;
    private int lastId;

    /** An order of the system for a machine, as it arrived. */
    record Order(String machine, String holder, long fence, String what) {}

    private final List<Order> orders = new ArrayList<>();

    /** A machine and the minion on it, if there is one. */
    static final class Machine {
        final String name;
        final String rack;
        String pool;
        String state = "up";
        Minion minion;
        HttpServer server;
        Gate gate;
        long heartbeats;

        private Machine(String name, String rack, String pool) {
            this.name = name;
            this.rack = rack;
            this.pool = pool;
        }
    }

    Fleet(Store store, Journal journal) throws IOException {
        this.store = store;
        this.journal = journal;
        this.cloud = Json.listen(this::handle);
    }

    int port() {
        return cloud.getAddress().getPort();
    }

    synchronized Machine add(String name, String rack, String pool) throws IOException {
        Machine machine = new Machine(name, rack, pool);
        machines.put(name, machine);
        startMinion(machine, "");
        return machine;
    }

    synchronized List<Machine> machines() {
        return new ArrayList<>(machines.values());
    }

    synchronized List<Order> orders() {
        return new ArrayList<>(orders);
    }

    /** Returns the runs in progress of each work item, as run and minion. */
    synchronized Map<String, List<String>> runs() {
        Map<String, List<String>> byTask = new LinkedHashMap<>();
        for (Machine machine : machines.values()) {
            if (machine.minion != null) {
                machine.minion
                        .runs()
                        .forEach((task, run) -> byTask.computeIfAbsent(task, key -> new ArrayList<>())
                                .add("#" + run + "@" + machine.minion.id));
            }
        }
        return byTask;
    }

    /** Starts a minion on a machine, under its former identifier and address if there is one. */
    private void startMinion(Machine machine, String formerId) throws IOException {
        if (machine.pool.equals(STANDBY)) {
            return;
        }
        String id = formerId.isEmpty() ? String.format("i-%08x", 0x1a000000 + ++lastId) : formerId;
        Minion minion = new Minion(id, CPU, MEM_MB, journal);
        machine.minion = minion;
        if (formerId.isEmpty()) {
            machine.server = Json.listen((exchange, body) -> {
                Minion current = machine.minion;
                if (current == null) {
                    exchange.close();
                } else {
                    current.handle(exchange, body);
                }
            });
            machine.gate = new Gate(machine.server.getAddress().getPort());
        }
        long life = ++machine.heartbeats;
        Thread.ofVirtual().start(() -> sendHeartbeats(machine, minion, life));
    }

    private void sendHeartbeats(Machine machine, Minion minion, long life) {
        long seq = 0;
        while (true) {
            synchronized (this) {
                if (machine.heartbeats != life) {
                    return;
                }
                minion.advance();
                ObjectNode entry = Json.object();
                entry.put("service", machine.pool)
                        .put("address", "127.0.0.1:" + machine.gate.port())
                        .put("zone", "z0")
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldLeftMs", 0)
                        .put("born", minion.bornMs)
                        .put("seq", ++seq);
                entry.putObject("capacity").put("cpu", CPU).put("memMb", MEM_MB).put("gpu", 0);
                entry.putArray("labels").add("a").add(machine.rack);
                store.put("servers/" + minion.id, entry.toString());
            }
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void endMinion(Machine machine, String reason) {
        if (machine.minion != null) {
            machine.heartbeats++;
            store.remove("servers/" + machine.minion.id);
            machine.minion.end(reason);
            machine.minion = null;
            machine.server.stop(0);
        }
    }

    /** Crashes a minion's process, which starts again under its identifier and at its address. */
    void restart(Machine machine, long downMs) throws Exception {
        String id;
        synchronized (this) {
            if (machine.minion == null) {
                return;
            }
            id = machine.minion.id;
            machine.heartbeats++;
            machine.minion.end("crash");
            machine.minion = null;
            machine.gate.crash();
        }
        Thread.sleep(downMs);
        synchronized (this) {
            machine.gate.listenAgain();
            startMinion(machine, id);
        }
        journal.add("minion " + id + " has started again after a crash, " + downMs + " ms down");
    }

    /** Loses a minion for good: it falls silent, and its entry is removed after three heartbeats of silence. */
    void lose(Machine machine) {
        String id;
        synchronized (this) {
            id = machine.minion.id;
            machine.heartbeats++;
            machine.minion.end("lost for good");
            machine.minion = null;
            machine.state = "down";
            machine.gate.cut();
        }
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(3 * HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            store.remove("servers/" + id);
        });
        journal.print("minion " + id + " is lost for good");
    }

    private void handle(HttpExchange exchange, JsonNode body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/machines")) {
            Json.answer(exchange, 200, list());
            return;
        }
        int status;
        ObjectNode answer = Json.object();
        synchronized (this) {
            Machine machine = machines.get(body.path("machine").asText());
            boolean move = path.equals("/machine-move");
            String pool = body.path("pool").asText();
            String what = move ? "move to " + pool : "upkeep for wave " + body.path("wave").asLong();
            if (machine == null) {
                status = 400;
            } else {
                Order order = new Order(
                        machine.name,
                        exchange.getRequestHeaders().getFirst("Duty-Holder"),
                        Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token")),
                        what);
                orders.add(order);
                int runs = machine.minion == null ? 0 : machine.minion.runningCount();
                journal.add("order " + what + " machine=" + machine.name + " holder=" + order.holder + " fence="
                        + order.fence + " pool=" + machine.pool + " state=" + machine.state + " runs=" + runs);
                if (move && machine.pool.equals(pool)) {
                    status = 200;
                } else if (!machine.state.equals("up")) {
                    answer.put("reason", "busy");
                    status = 409;
                } else {
                    takeDown(machine, move ? pool : machine.pool, move ? MOVE_MS : UPKEEP_MS, move, what);
                    status = 200;
                }
            }
        }
        Json.answer(exchange, status, answer);
    }

    private void takeDown(Machine machine, String pool, long downMs, boolean move, String what) {
        endMinion(machine, what);
        machine.pool = pool;
        machine.state = move ? "moving" : "upkeep";
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(downMs);
                synchronized (this) {
                    machine.state = "up";
                    startMinion(machine, "");
                }
            } catch (IOException | InterruptedException e) {
                e.printStackTrace();
            }
        });
    }

    private synchronized ObjectNode list() {
        ObjectNode answer = Json.object();
        ArrayNode rows = answer.putArray("machines");
        for (Machine machine : machines.values()) {
            ObjectNode row = rows.addObject();
            row.put("machine", machine.name).put("pool", machine.pool).put("state", machine.state);
            row.put("zone", "z0");
            row.putArray("labels").add("a").add(machine.rack);
            row.putObject("capacity").put("cpu", CPU).put("memMb", MEM_MB).put("gpu", 0);
            if (machine.minion != null) {
                row.put("id", machine.minion.id);
            }
        }
        answer.putNull("nextToken");
        return answer;
    }
}
