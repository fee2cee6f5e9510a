package third;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of the platform's interface for machines; fences are not checked. */
final class Cloud {
    static final String POOL = "work";
    static final String STANDBY = "spare";
    private static final long UPKEEP_MS = 2000;
    private static final long ANSWER_MS = 4;
    private static final long MOVE_MS = 1500;

    private record Order(String machine, String what, String holder, long fence) {}

    private static final class Machine {
        private String pool;
        private String state = "up";
        private Minion minion;
        private boolean off;
        private final List<Long> wavesDone = new ArrayList<>();
    }

    private final Record record;
    private final HttpServer server;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Consumer<Minion> onMinion;

    /**
     * Creates a stand-in without machines.
     *
     * @param onMinion starts the next minion of a machine
     */
    Cloud(Record record, Consumer<Minion> onMinion) throws IOException {
        this.record = record;
        this.onMinion = onMinion;
        this.server = Json.listen(0, this::handle);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Adds a machine of the pool that works. */
    synchronized void add(String name, Minion minion) {
        Machine machine = new Machine();
        machine.pool = POOL;
        machine.minion = minion;
        machines.put(name, machine);
    }

    private void handle(HttpExchange exchange, JsonNode body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/machines")) {
            ObjectNode list = list();
            Thread.sleep(ANSWER_MS);
            Json.respond(exchange, 200, list);
            return;
        }
        Order order = new Order(
                body.path("machine").asText(),
                path.equals("/machine-move") ? "move to " + body.path("pool").asText() : "upkeep of wave " + body.path("wave"),
                exchange.getRequestHeaders().getFirst("Duty-Holder"),
                Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token")));
        record.add("machines", "order " + order);
        String reason = carryOut(order, path, body);
        Thread.sleep(ANSWER_MS);
        Json.respond(
                exchange, reason.isEmpty() ? 200 : 409, reason.isEmpty() ? Json.object() : Json.object().put("reason", reason));
    }

    private synchronized String carryOut(Order order, String path, JsonNode body) {
        Machine machine = machines.get(order.machine);
        boolean move = path.equals("/machine-move");
        if (!move && machine.wavesDone.contains(body.path("wave").asLong())
                || move && machine.pool.equals(body.path("pool").asText())) {
            return "";
        }
        if (!machine.state.equals("up")) {
            return "busy";
        }
        if (move) {
            machine.pool = body.path("pool").asText();
        } else {
            machine.wavesDone.add(body.path("wave").asLong());
        }
        machine.state = move ? "moving" : "upkeep";
        if (!machine.off) {
            machine.minion.crash();
        }
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(move ? MOVE_MS : UPKEEP_MS);
                synchronized (this) {
                    machine.state = "up";
                    machine.off = machine.pool.equals(STANDBY);
                    if (!machine.off) {
                        machine.minion = machine.minion.successor();
                        onMinion.accept(machine.minion);
                    }
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        return "";
    }

    private synchronized ObjectNode list() {
        ObjectNode answer = Json.object();
        ArrayNode rows = answer.putArray("machines");
        machines.forEach((name, machine) -> {
            ObjectNode row = rows.addObject()
                    .put("machine", name)
                    .put("pool", machine.pool)
                    .put("state", machine.state)
                    .put("zone", "z1");
            row.putArray("labels").add("a").add("r-1");
            row.putObject("capacity").put("cpu", 64_000).put("memMb", 262_144).put("gpu", 0);
            if (!machine.off && machine.state.equals("up")) {
                row.put("id", machine.minion.id());
            }
        });
        return answer.putNull("nextToken");
    }
}
