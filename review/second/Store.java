package second;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final long ANSWER_MS = 4;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Long> leaseTtlMs = new HashMap<>();
    private final HttpServer server;
    private long revision = 1;
    private long lastLease = 100;

    private record Item(String value, long revision, long created, long lease) {}

    Store() throws IOException {
        server = Json.listen(this::handle);
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
                expireLeases();
            }
        });
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes a value, as the operator or a server does. */
    synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            delete(key, ++revision);
            notifyAll();
        }
    }

    /** Returns a value as text; empty when there is none. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    /** Returns the first key that ends with a suffix and its value; null when there is none. */
    synchronized String keyEndingWith(String suffix) {
        return items.keySet().stream().filter(key -> key.endsWith(suffix)).findFirst().orElse(null);
    }

    synchronized long revisionOf(String key) {
        Item item = items.get(key);
        return item == null ? 0 : item.revision;
    }

    private void put(String key, String base64, long lease, long at) {
        Item old = items.get(key);
        Item item = new Item(base64, at, old == null ? at : old.created, lease);
        items.put(key, item);
        events.add(encode(key, item));
    }

    private void delete(String key, long at) {
        items.remove(key);
        events.add(Json.object().put("key", key).put("revision", at).put("tombstone", true));
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        for (long lease : new ArrayList<>(leaseEndNanos.keySet())) {
            if (leaseEndNanos.get(lease) - now <= 0) {
                endLease(lease);
            }
        }
    }

    private void endLease(long lease) {
        leaseEndNanos.remove(lease);
        for (String key : new ArrayList<>(items.keySet())) {
            if (items.get(key).lease == lease) {
                delete(key, ++revision);
            }
        }
        notifyAll();
    }

    private static ObjectNode encode(String key, Item item) {
        return Json.object()
                .put("key", key)
                .put("value", item.value)
                .put("revision", item.revision)
                .put("created", item.created)
                .put("lease", item.lease);
    }

    private void handle(HttpExchange exchange, JsonNode body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = Json.query(exchange);
        if (path.equals("/kv-watch")) {
            watch(exchange, query);
            return;
        }
        Thread.sleep(ANSWER_MS);
        ObjectNode answer = Json.object();
        int status;
        synchronized (this) {
            expireLeases();
            if (path.equals("/kv-key")) {
                Item item = items.get(query.get("key"));
                answer = item == null ? answer : encode(query.get("key"), item);
                answer.put("asOf", revision);
                status = item == null ? 404 : 200;
            } else if (path.equals("/kv-range")) {
                status = range(query, answer);
            } else if (path.equals("/kv-txn")) {
                status = commit(body, answer);
            } else if (path.equals("/kv-lease")) {
                long lease = ++lastLease;
                leaseTtlMs.put(lease, body.path("ttlMs").asLong());
                leaseEndNanos.put(lease, System.nanoTime() + body.path("ttlMs").asLong() * 1_000_000);
                answer.put("lease", lease).put("ttlMs", body.path("ttlMs").asLong());
                status = 200;
            } else if (path.startsWith("/kv-keep/")) {
                long lease = Long.parseLong(path.substring("/kv-keep/".length()));
                boolean alive = leaseEndNanos.containsKey(lease);
                if (alive) {
                    leaseEndNanos.put(lease, System.nanoTime() + leaseTtlMs.get(lease) * 1_000_000);
                    answer.put("ttlMs", leaseTtlMs.get(lease));
                }
                status = alive ? 200 : 404;
            } else if (path.startsWith("/kv-lease-end/")) {
                long lease = Long.parseLong(path.substring("/kv-lease-end/".length()));
                status = leaseEndNanos.containsKey(lease) ? 200 : 404;
                endLease(lease);
            } else {
                status = 404;
            }
        }
        Json.answer(exchange, status, answer);
    }

    private int range(Map<String, String> query, ObjectNode answer) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        ArrayNode list = answer.putArray("items");
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (list.size() == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            list.add(encode(entry.getKey(), entry.getValue()));
        }
        answer.put("truncated", truncated).put("asOf", revision);
        return 200;
    }

    private int commit(JsonNode body, ObjectNode answer) {
        boolean matches = true;
        ArrayNode current = Json.MAPPER.createArrayNode();
        for (JsonNode row : body.path("expectedRevision")) {
            Item item = items.get(row.path("key").asText());
            matches &= (item == null ? 0 : item.revision) == row.path("revision").asLong();
            if (item != null) {
                current.add(encode(row.path("key").asText(), item));
            }
        }
        if (!matches) {
            answer.set("items", current);
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leaseEndNanos.containsKey(lease)) {
                return 404;
            }
        }
        if (body.path("writes").isEmpty() && body.path("remove").isEmpty()) {
            answer.put("revision", revision);
            return 200;
        }
        long at = ++revision;
        for (JsonNode write : body.path("writes")) {
            put(write.path("key").asText(), write.path("value").asText(), write.path("lease").asLong(), at);
        }
        for (JsonNode key : body.path("remove")) {
            if (items.containsKey(key.asText())) {
                delete(key.asText(), at);
            }
        }
        notifyAll();
        answer.put("revision", at);
        return 200;
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws Exception {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("events");
        synchronized (this) {
            while (true) {
                for (int i = events.size() - 1; i >= 0; i--) {
                    ObjectNode event = events.get(i);
                    if (event.path("revision").asLong() <= after) {
                        break;
                    }
                    if (event.path("key").asText().startsWith(prefix)) {
                        list.insert(0, event);
                    }
                }
                long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
                if (!list.isEmpty() || leftMs <= 0) {
                    answer.put("asOf", revision);
                    break;
                }
                wait(leftMs);
            }
        }
        Json.answer(exchange, 200, answer);
    }
}
