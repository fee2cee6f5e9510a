package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store, as PROTOCOL.md describes it. Each entry host has an access of its own to it, which may
 * be impaired.
 */
final class Store implements AutoCloseable {
    private static final int PAGE = 500;

    private final Record record;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Access> accesses = new ArrayList<>();
    private long revision = 100;
    private long nextLease = 1000;
    private long compactRevision;
    private long busySinceMs = -1;
    private boolean watchesHearNothing;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private static final class Lease {
        private long ttlMs;
        private long endMs;
    }

    /** How the store treats the calls of one entry host. */
    enum Mode {
        SERVES,
        /** Calls get no response and nothing is done. */
        SILENT,
        /** Transactions are done, and their responses are lost. */
        LOSES_ANSWERS_OF_WRITES
    }

    /** The access of one entry host. */
    final class Access {
        final String name;
        final Http http;
        volatile Mode mode = Mode.SERVES;
        volatile long lastRenewalMs = -1;

        private Access(String name) throws IOException {
            this.name = name;
            this.http = Http.listen(this::handle);
        }

        private Http.Reply handle(Http.Call call) throws InterruptedException {
            Mode at = mode;
            if (at == Mode.SILENT) {
                return null;
            }
            Http.Reply reply = Store.this.handle(call, this);
            boolean write = call.path().equals("/kv-txn") && call.body().path("writes").size() > 0;
            if (mode == Mode.SILENT) {
                return null;
            }
            if (at == Mode.LOSES_ANSWERS_OF_WRITES && write) {
                record.line("store: response lost to " + name + " status=" + reply.status() + " keys=" + keys(call));
                return null;
            }
            return reply;
        }
    }

    Store(Record record) {
        this.record = record;
        Thread.startVirtualThread(() -> {
            while (true) {
                synchronized (this) {
                    expire();
                }
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    Access access(String name) throws IOException {
        Access access = new Access(name);
        accesses.add(access);
        return access;
    }

    /** Answers every call with 503 from now on; leases pause meanwhile. */
    synchronized void beginOutage() {
        busySinceMs = Record.nowMs();
        record.line("store: down (503), leases pause");
        notifyAll();
    }

    synchronized void endOutage() {
        long downMs = Record.nowMs() - busySinceMs;
        busySinceMs = -1;
        leases.values().forEach(lease -> lease.endMs += downMs);
        record.line("store: serves again after " + downMs + " ms");
    }

    /** Forgets its history: watches hear nothing for a second in which changes are made, then they are cut. */
    void forgetHistory() throws InterruptedException {
        synchronized (this) {
            watchesHearNothing = true;
        }
        Thread.sleep(1000);
        synchronized (this) {
            // The servers write all the time; this makes sure of a change.
            revision++;
            compactRevision = revision;
            events.clear();
            watchesHearNothing = false;
            record.line("store: history up to revision " + revision + " is gone");
            notifyAll();
        }
    }

    private static String keys(Http.Call call) {
        List<String> keys = new ArrayList<>();
        call.body().path("writes").forEach(write -> keys.add(write.path("key").asText()));
        return keys.toString();
    }

    /** Writes as the operator or a server; returns the revision, which is the acknowledgement. */
    synchronized long put(String key, String json) {
        revision++;
        putItem(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns a value as text; empty when there is none. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void putItem(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        events.add(new Event(key, revision, item));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(key, revision, null));
        }
    }

    private void expire() {
        if (busySinceMs >= 0) {
            return;
        }
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endMs <= Record.nowMs()) {
                ended.add(id);
            }
        });
        ended.forEach(this::endLease);
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        revision++;
        items.values().stream().filter(item -> item.lease() == id).map(Item::key).toList().forEach(this::remove);
        notifyAll();
        return true;
    }

    private synchronized Http.Reply handle(Http.Call call, Access access) throws InterruptedException {
        expire();
        if (busySinceMs >= 0) {
            return Http.Reply.of(503);
        }
        String path = call.path();
        if (path.equals("/kv-key")) {
            Item item = items.get(call.query().get("key"));
            return item == null ? Http.Reply.of(404) : new Http.Reply(200, encode(item).put("asOf", revision));
        }
        if (path.equals("/kv-range")) {
            ObjectNode body = Http.object();
            ArrayNode list = body.putArray("items");
            boolean truncated = false;
            String prefix = call.query().get("prefix");
            for (Item item : items.tailMap(call.query().getOrDefault("after", ""), false).values()) {
                if (item.key().startsWith(prefix)) {
                    if (list.size() == PAGE) {
                        truncated = true;
                        break;
                    }
                    list.add(encode(item));
                }
            }
            return new Http.Reply(200, body.put("truncated", truncated).put("asOf", revision));
        }
        if (path.equals("/kv-watch")) {
            return watch(call);
        }
        if (path.equals("/kv-txn")) {
            return commit(call, access);
        }
        if (path.equals("/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMs = Math.max(1000, call.body().path("ttlMs").asLong());
            lease.endMs = Record.nowMs() + lease.ttlMs;
            leases.put(++nextLease, lease);
            return new Http.Reply(200, Http.object().put("lease", nextLease).put("ttlMs", lease.ttlMs));
        }
        if (path.startsWith("/kv-keep/")) {
            Lease lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
            if (lease == null) {
                return Http.Reply.of(404);
            }
            lease.endMs = Record.nowMs() + lease.ttlMs;
            access.lastRenewalMs = Record.nowMs();
            return new Http.Reply(200, Http.object().put("ttlMs", lease.ttlMs));
        }
        if (path.startsWith("/kv-lease-end/")) {
            return Http.Reply.of(endLease(Long.parseLong(path.substring("/kv-lease-end/".length()))) ? 200 : 404);
        }
        return Http.Reply.of(404);
    }

    private Http.Reply watch(Http.Call call) throws InterruptedException {
        long after = Long.parseLong(call.query().get("after"));
        long untilMs = Record.nowMs() + Long.parseLong(call.query().get("waitMs"));
        String prefix = call.query().get("prefix");
        while (true) {
            if (busySinceMs >= 0) {
                return Http.Reply.of(503);
            }
            if (after < compactRevision) {
                return Http.Reply.of(410);
            }
            if (watchesHearNothing) {
                wait(100);
                continue;
            }
            ObjectNode body = Http.object();
            ArrayNode list = body.putArray("events");
            for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > after; i--) {
                Event event = events.get(i);
                if (event.key().startsWith(prefix)) {
                    list.insert(
                            0,
                            event.item() != null
                                    ? encode(event.item())
                                    : Http.object()
                                            .put("key", event.key())
                                            .put("revision", event.revision())
                                            .put("tombstone", true));
                }
            }
            long left = untilMs - Record.nowMs();
            if (!list.isEmpty() || left <= 0) {
                return new Http.Reply(200, body.put("asOf", Math.max(after, revision)));
            }
            wait(left);
        }
    }

    private Http.Reply commit(Http.Call call, Access access) {
        JsonNode body = call.body();
        boolean holds = true;
        ObjectNode conflict = Http.object();
        ArrayNode current = conflict.putArray("items");
        for (JsonNode row : body.path("expectedRevision")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
            if (item != null) {
                current.add(encode(item));
            }
        }
        if (body.path("expectedRevision").size() + body.path("writes").size() + body.path("remove").size() > 32) {
            return Http.Reply.of(400);
        }
        if (!holds) {
            return new Http.Reply(412, conflict);
        }
        for (JsonNode write : body.path("writes")) {
            if (write.path("lease").asLong() != 0 && !leases.containsKey(write.path("lease").asLong())) {
                return Http.Reply.of(404);
            }
            String key = write.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return Http.Reply.of(403);
            }
        }
        if (body.path("writes").size() + body.path("remove").size() > 0) {
            revision++;
            for (JsonNode write : body.path("writes")) {
                putItem(write.path("key").asText(), write.path("value").asText(), write.path("lease").asLong());
            }
            body.path("remove").forEach(key -> remove(key.asText()));
            record.line("store: txn of " + access.name + " revision=" + revision + " writes=" + keys(call) + " remove="
                    + body.path("remove"));
            notifyAll();
        }
        return new Http.Reply(200, Http.object().put("revision", revision));
    }

    private static ObjectNode encode(Item item) {
        return Http.object()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    @Override
    public void close() {
        accesses.forEach(access -> access.http.close());
    }
}
