package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment on loopback: store, machines, minions of one service, and entry hosts. */
final class Site implements AutoCloseable {
    static final String HOST = "clinic.example";
    static final String SERVICE = "dispatch";

    final Record record;
    final Store store;
    final Cloud cloud;
    final List<Minion> minions = new ArrayList<>();
    final List<EntryHost> hosts = new ArrayList<>();
    private final Path folder;

    /** Raised when the case could not run. */
    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean run(Site site, boolean trouble) throws Exception;
    }

    private Site(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        this.store = new Store(record);
        this.cloud = new Cloud();
    }

    /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] arguments, Case testCase) {
        boolean trouble = !"0".equals(arguments[1]);
        int code = 2;
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        record.line("TROUBLE=" + (trouble ? 1 : 0));
        try (Site site = new Site(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(site::closeQuietly));
            code = testCase.run(site, trouble) ? 0 : 1;
        } catch (Exception e) {
            record.line("could not run: " + e);
        }
        record.line(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
        System.out.println(code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    private void closeQuietly() {
        for (EntryHost host : hosts) {
            try {
                host.close();
            } catch (Exception e) {
                // The process has ended.
            }
        }
    }

    /** Adds minions of the service, each on a machine of its own, four to a rack. */
    void addMinions(int count, Minion.Behaviour behaviour, Minion.Listener listener) throws IOException {
        for (int i = 0; i < count; i++) {
            Minion minion = new Minion("m" + i + "-5f2a", SERVICE, "r1-" + i / 4, record, store, behaviour, listener);
            minions.add(minion);
            cloud.add("host-" + i, minion);
        }
    }

    /** Settings that differ from those of the small deployment. */
    final Map<String, String> settings = new HashMap<>();

    /** Starts entry hosts and waits until all of them are ready. */
    void startHosts(int count) throws Exception {
        settings.put("cloudApi.address", cloud.http.address());
        settings.put("cloudApi.ratePerS", "64.0");
        settings.put("cloudApi.dutyPerS", "64.0");
        for (int i = 0; i < count; i++) {
            String name = "front-" + (char) ('a' + i);
            EntryHost host = new EntryHost(
                    name,
                    "127.0.0." + (11 + i),
                    folder,
                    record,
                    store.access(name),
                    settings);
            hosts.add(host);
            host.start();
        }
        require("all entry hosts are ready", 40_000, () -> hosts.stream().allMatch(EntryHost::isReady));
        require("one of them leads", 20_000, () -> hosts.stream().anyMatch(host -> host.access.lastRenewalMs >= 0));
    }

    /** Returns the entry host that renewed its lease in the store last, which is the one that leads. */
    EntryHost leader() {
        return hosts.stream()
                .max(Comparator.comparingLong(host -> host.access.lastRenewalMs))
                .orElseThrow();
    }

    /** Returns the first entry host that does not lead. */
    EntryHost follower() {
        EntryHost leader = leader();
        return hosts.stream().filter(host -> host != leader).findFirst().orElseThrow();
    }

    void require(String what, long timeoutMs, BooleanSupplier condition) throws Exception {
        if (!await(timeoutMs, condition)) {
            throw new CannotRun("not within " + timeoutMs + " ms: " + what);
        }
        record.line("now: " + what);
    }

    static boolean await(long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        long untilMs = Record.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (Record.nowMs() >= untilMs) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    /** A route, which is a queue. */
    record Route(String name, String prefix, boolean advice) {
        Route(String name, String prefix) {
            this(name, prefix, false);
        }
    }

    /** Stores a config with these routes and keys of one tenant, as the operator does. */
    void putConfig(long version, List<Route> routes, List<String> keys) {
        ObjectNode config = Http.object().put("version", version);
        ArrayNode list = config.putArray("routes");
        for (Route route : routes) {
            ObjectNode entry = list.addObject()
                    .put("name", route.name())
                    .put("host", HOST)
                    .put("prefix", route.prefix())
                    .put("service", SERVICE)
                    .put("timeoutMs", 3000)
                    .put("priority", 0)
                    .put("maxAttempts", 3)
                    .put("stretchFactor", 1.6)
                    .put("aimMs", 600);
            if (route.advice()) {
                entry.putObject("advice").put("decideMs", 20).put("periodMs", 1).put("validMs", 3000);
            }
        }
        config.putArray("services").addObject().put("name", SERVICE).put("rejectsOverload", true);
        ObjectNode tenant = config.putArray("tenants").addObject().put("name", "kitchens").put("weight", 10.0);
        ArrayNode apiKeys = tenant.putArray("apiKeys");
        keys.forEach(apiKeys::add);
        tenant.putObject("cap").put("cpu", 0).put("memMb", 0).put("gpu", 0);
        config.putObject("limits").put("maxHeaderBytes", 16384).put("maxBodyBytes", 262144);
        long revision = store.put("op/config", config.toString());
        record.line("operator: config " + version + " acknowledged, revision " + revision + ", routes="
                + routes.stream().map(Route::name).toList() + " keys=" + keys);
    }

    @Override
    public void close() {
        closeQuietly();
        minions.forEach(Minion::close);
        cloud.close();
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            // Kept for the reader when asked for.
            if (System.getenv("KEEP") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } else {
                record.line("kept " + folder.getFileName());
            }
        } catch (IOException e) {
            record.line("folder not deleted: " + e);
        }
    }
}
