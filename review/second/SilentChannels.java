package second;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All open channels between the entry hosts and the platform go silent once; new ones work. Later, when all machines are
 * in touch again, a config drops a route, and consumers ask each entry host for that route's pending jobs.
 */
public final class SilentChannels {
    private static final int HOSTS = 6;
    private static final int MACHINES = 8;
    private static final int JOBS_AT_ONCE = 16;
    private static final long CONTACT_MS = 3000;
    private static final long CONFIG_APPLY_MS = 2000;
    private static final long SLACK_MS = 100;
    private static final long PROBED_MS = 15_000;
    private static final String JOB = "{\"spec\":\"ms=800 cpu=1000 mem=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
            + "\"memMb\":1000,\"estimateMs\":800}]}";

    private SilentChannels() {}

    public static void main(String[] arguments) throws Exception {
        Path record = Path.of(arguments[0]);
        Journal journal = new Journal();
        Path folder = Files.createTempDirectory("silent-");
        int status = 2;
        try (Nodes nodes = new Nodes(folder)) {
            status = run(nodes, journal, arguments[1].equals("1"));
        } catch (Exception e) {
            journal.print("could not run: " + e);
        }
        journal.write(record);
        System.exit(status);
    }

    private static int run(Nodes nodes, Journal journal, boolean trouble) throws Exception {
        Store store = new Store();
        Fleet fleet = new Fleet(store, journal);
        for (int i = 0; i < MACHINES; i++) {
            fleet.add(String.format("m-%02d", i), "r1-" + i / 4, "work");
        }
        store.put("op/config", config(3, route("p") + "," + route("q")));
        List<Gate> gates = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Gate storeGate = new Gate(store.port());
            Gate cloudGate = new Gate(fleet.port());
            gates.add(storeGate);
            gates.add(cloudGate);
            nodes.start(storeGate.port(), cloudGate.port());
        }
        if (!nodes.awaitReady(Duration.ofSeconds(25))) {
            journal.print("not all entry hosts are ready");
            return 2;
        }
        Thread.sleep(3000);
        journal.print(sendPeak(nodes) + " of " + HOSTS * JOBS_AT_ONCE + " jobs accepted");
        Thread.sleep(300);
        if (trouble) {
            fleet.machines().forEach(machine -> gates.add(machine.gate));
            StringBuilder counts = new StringBuilder();
            gates.forEach(gate -> counts.append(' ').append(gate.silence()));
            journal.print("all open channels go silent; by address:" + counts);
        }
        Thread.sleep(CONTACT_MS + SLACK_MS);
        store.put("op/config", config(9, route("p")));
        journal.print("config 9 without the route q is acknowledged");
        long acknowledgedNanos = System.nanoTime();
        Thread.sleep(CONFIG_APPLY_MS + SLACK_MS);
        return probe(nodes, journal, acknowledgedNanos);
    }

    /** Sends jobs to each entry host at once, as in a peak of demand; returns how many were accepted. */
    private static int sendPeak(Nodes nodes) throws InterruptedException {
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger number = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < HOSTS * JOBS_AT_ONCE; i++) {
            int host = i % HOSTS;
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    if (nodes.submit("/p/" + String.format("%016x", number.incrementAndGet()), JOB, host) == 200) {
                        accepted.incrementAndGet();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return accepted.get();
    }

    private static int probe(Nodes nodes, Journal journal, long acknowledgedNanos) throws InterruptedException {
        Map<Integer, Long> lastServedMs = new TreeMap<>();
        Map<Integer, Integer> served = new TreeMap<>();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            int at = host;
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    long sentMs;
                    do {
                        sentMs = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
                        int status = nodes.call(at, "GET", "/q/", "");
                        journal.add("front-" + at + " GET /q/ sent " + sentMs + " ms after the acknowledgement: " + status);
                        answered.addAndGet(status == 0 ? 0 : 1);
                        if (status == 200) {
                            synchronized (served) {
                                served.merge(at, 1, Integer::sum);
                                lastServedMs.put(at, sentMs);
                            }
                        }
                        Thread.sleep(100);
                    } while (sentMs < PROBED_MS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        served.forEach((host, count) -> journal.print("CONFIG broken: front-" + host + " served the dropped route " + count
                + " times, last for a request sent " + lastServedMs.get(host) + " ms after the acknowledgement"));
        journal.print(answered.get() + " requests answered, " + served.size() + " of " + HOSTS
                + " entry hosts served the dropped route");
        return answered.get() == 0 ? 2 : served.isEmpty() ? 0 : 1;
    }

    private static String config(int version, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],"
                + "\"services\":[{\"name\":\"work\",\"rejectsOverload\":true}],\"tenants\":[],\"limits\":{}}";
    }

    private static String route(String name) {
        return "{\"name\":\"" + name + "\",\"host\":\"127.0.0.1\",\"prefix\":\"/" + name + "/\","
                + "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"aimMs\":600,\"priority\":0,"
                + "\"service\":\"work\",\"maxAttempts\":3,\"stretchFactor\":1.6,\"anonymous\":true}";
    }
}
