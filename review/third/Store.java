package third;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of the platform's store; each entry host has a port of its own, which can go silent. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int VALUE_BYTES = 1_048_576;

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Long> leaseTtlMs = new HashMap<>();
    private long revision = 1;
    private long nextLease = 1000;

    /** A port of the store for one entry host. */
    final class Port {
        final HttpServer server;
        private volatile boolean silent;

        private Port() throws IOException {
            server = Json.listen(0, (exchange, body) -> {
                if (silent) {
                    // The call is not carried out and gets no response.
                    Thread.sleep(60_000);
                    exchange.close();
                    return;
                }
                handle(exchange, body, this);
            });
        }

        int number() {
            return server.getAddress().getPort();
        }

        void setSilent(boolean silent) {
            this.silent = silent;
            synchronized (Store.this) {
                Store.this.notifyAll();
            }
        }
    }

    Port openPort() throws IOException {
        return new Port();
    }

    /** Writes a value as the operator or a minion does; returns the revision. */
    synchronized long put(String key, String value) {
        revision++;
        write(key, value.getBytes(java.nio.charset.StandardCharsets.UTF_8), 0);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        revision++;
        delete(key);
        notifyAll();
    }

    private void write(String key, byte[] value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        events.add(new Event(key, revision, item));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(key, revision, null));
        }
    }

    private void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leaseEndNanos.forEach((lease, end) -> {
            if (now - end > 0) {
                ended.add(lease);
            }
        });
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        leaseEndNanos.remove(lease);
        leaseTtlMs.remove(lease);
        Set<String> keys = new HashSet<>();
        items.values().stream().filter(item -> item.lease == lease).forEach(item -> keys.add(item.key));
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::delete);
            notifyAll();
        }
    }

    private void handle(HttpExchange exchange, JsonNode body, Port port) throws Exception {
        Thread.sleep(4);
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/kv-watch")) {
            watch(exchange, port);
            return;
        }
        int status = 200;
        ObjectNode answer;
        synchronized (this) {
            expireLeases();
            if (path.equals("/kv-key")) {
                Item item = items.get(Json.query(exchange).get("key"));
                status = item == null ? 404 : 200;
                answer = item == null ? Json.object() : encode(item);
                answer.put("asOf", revision);
            } else if (path.equals("/kv-range")) {
                answer = range(Json.query(exchange));
            } else if (path.equals("/kv-txn")) {
                answer = Json.object();
                status = commit(body, answer);
            } else if (path.equals("/kv-lease")) {
                long lease = nextLease++;
                long ttlMs = Math.max(1000, body.path("ttlMs").asLong());
                leaseTtlMs.put(lease, ttlMs);
                leaseEndNanos.put(lease, System.nanoTime() + ttlMs * 1_000_000);
                answer = Json.object().put("lease", lease).put("ttlMs", ttlMs);
            } else if (path.startsWith("/kv-keep/")) {
                Long lease = Long.valueOf(path.substring("/kv-keep/".length()));
                Long ttlMs = leaseTtlMs.get(lease);
                status = ttlMs == null ? 404 : 200;
                answer = Json.object();
                if (ttlMs != null) {
                    leaseEndNanos.put(lease, System.nanoTime() + ttlMs * 1_000_000);
                    answer.put("ttlMs", ttlMs);
                }
            } else if (path.startsWith("/kv-lease-end/")) {
                Long lease = Long.valueOf(path.substring("/kv-lease-end/".length()));
                status = leaseTtlMs.containsKey(lease) ? 200 : 404;
                endLease(lease);
                answer = Json.object();
            } else {
                status = 404;
                answer = Json.object();
            }
        }
        Json.respond(exchange, status, answer);
    }

    private static ObjectNode encode(Item item) {
        return Json.object()
                .put("key", item.key)
                .put("value", Base64.getEncoder().encodeToString(item.value))
                .put("revision", item.revision)
                .put("created", item.created)
                .put("lease", item.lease);
    }

    private ObjectNode range(Map<String, String> query) {
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("items");
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        boolean truncated = false;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key.startsWith(prefix)) {
                break;
            }
            if (item.key.compareTo(after) > 0) {
                if (list.size() == PAGE_ITEMS) {
                    truncated = true;
                    break;
                }
                list.add(encode(item));
            }
        }
        return answer.put("truncated", truncated).put("asOf", revision);
    }

    private int commit(JsonNode body, ObjectNode answer) {
        boolean conflict = false;
        ArrayNode current = Json.MAPPER.createArrayNode();
        for (JsonNode row : body.path("expectedRevision")) {
            String key = row.path("key").asText();
            Item item = items.get(key);
            conflict |= (item == null ? 0 : item.revision) != row.path("revision").asLong();
            current.add(item == null ? Json.object().put("key", key) : encode(item));
        }
        if (conflict) {
            answer.set("items", current);
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            if (Base64.getDecoder().decode(write.path("value").asText()).length > VALUE_BYTES) {
                return 400;
            }
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leaseTtlMs.containsKey(lease)) {
                return 404;
            }
        }
        if (body.path("writes").size() + body.path("remove").size() > 0) {
            revision++;
        }
        for (JsonNode write : body.path("writes")) {
            write(
                    write.path("key").asText(),
                    Base64.getDecoder().decode(write.path("value").asText()),
                    write.path("lease").asLong());
        }
        body.path("remove").forEach(key -> delete(key.asText()));
        notifyAll();
        answer.put("revision", revision);
        return 200;
    }

    private void watch(HttpExchange exchange, Port port) throws Exception {
        Map<String, String> query = Json.query(exchange);
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("events");
        synchronized (this) {
            while (true) {
                expireLeases();
                for (Event event : events) {
                    if (event.revision > after && event.key.startsWith(prefix)) {
                        list.add(event.item == null
                                ? Json.object()
                                        .put("key", event.key)
                                        .put("revision", event.revision)
                                        .put("tombstone", true)
                                : encode(event.item));
                    }
                }
                long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
                if (port.silent || !list.isEmpty() || leftMs <= 0) {
                    break;
                }
                wait(Math.min(leftMs, 50));
            }
            answer.put("asOf", revision);
        }
        if (port.silent) {
            Thread.sleep(60_000);
            exchange.close();
            return;
        }
        Json.respond(exchange, 200, answer);
    }
}
