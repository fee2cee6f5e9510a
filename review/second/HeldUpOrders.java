package second;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machine that leads is cut off from the platform for 5.5 s, up to seven times. Orders for machines that it has sent
 * on open channels are held up and arrive after the next leader's orders for the same machines.
 */
public final class HeldUpOrders {
    private static final int HOSTS = 6;
    private static final int MACHINES = 14;
    private static final int CUTS = 7;
    private static final long CUT_MS = 5500;
    private static final long CALM_MS = 4000;
    /** Time from the start of a peak of demand to the cut; the peak is over and machines are about to be given back. */
    private static final long PEAK_TO_CUT_MS = 2300;

    private HeldUpOrders() {}

    public static void main(String[] arguments) throws Exception {
        Path record = Path.of(arguments[0]);
        boolean trouble = arguments[1].equals("1");
        Journal journal = new Journal();
        Path folder = Files.createTempDirectory("held-up-");
        int status = 2;
        try (Nodes nodes = new Nodes(folder)) {
            status = run(nodes, journal, trouble);
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
            fleet.add(String.format("m-%02d", i), "r1-" + i / 4, i < 2 ? "work" : Fleet.STANDBY);
        }
        store.put(
                "op/config",
                "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"127.0.0.1\",\"prefix\":\"/p/\","
                        + "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"aimMs\":600,\"priority\":0,"
                        + "\"service\":\"work\",\"maxAttempts\":3,\"stretchFactor\":1.6,\"anonymous\":true}],"
                        + "\"services\":[{\"name\":\"work\",\"rejectsOverload\":true},"
                        + "{\"name\":\"rest\",\"rejectsOverload\":true,\"standby\":true}],"
                        + "\"tenants\":[],\"limits\":{}}");
        List<Gate> storeGates = new ArrayList<>();
        List<Gate> cloudGates = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            storeGates.add(new Gate(store.port()));
            cloudGates.add(new Gate(fleet.port()));
            nodes.start(storeGates.get(i).port(), cloudGates.get(i).port());
        }
        if (!nodes.awaitReady(Duration.ofSeconds(25))) {
            journal.print("not all entry hosts are ready");
            return 2;
        }
        AtomicBoolean sending = new AtomicBoolean(true);
        AtomicInteger accepted = new AtomicInteger();
        Semaphore peaks = new Semaphore(0);
        Thread load = Thread.ofVirtual().start(() -> sendLoad(nodes, journal, sending, accepted, peaks));
        Thread.sleep(6000);
        for (int cut = 0; cut < CUTS; cut++) {
            peaks.drainPermits();
            peaks.acquire();
            Thread.sleep(PEAK_TO_CUT_MS);
            if (trouble) {
                cutOffLeader(store, nodes, journal, storeGates, cloudGates);
            } else {
                Thread.sleep(CUT_MS);
            }
            Thread.sleep(CALM_MS);
            if (violations(fleet.orders()).size() > 0) {
                break;
            }
        }
        sending.set(false);
        load.join();
        List<String> violations = violations(fleet.orders());
        violations.forEach(violation -> journal.print("ONE broken: " + violation));
        journal.print(accepted.get() + " jobs accepted, " + fleet.orders().size() + " orders, " + violations.size()
                + " with a lower fence number after a higher one");
        if (accepted.get() == 0 || fleet.orders().isEmpty()) {
            return 2;
        }
        return violations.isEmpty() ? 0 : 1;
    }

    private static void cutOffLeader(
            Store store, Nodes nodes, Journal journal, List<Gate> storeGates, List<Gate> cloudGates)
            throws InterruptedException {
        String key = store.keyEndingWith("/jobs/duty");
        int leader = key == null ? -1 : nodes.indexOf(store.text(key));
        if (leader < 0) {
            journal.print("no leader to cut off");
            return;
        }
        journal.print("front-" + leader + ", which leads with fence number " + store.revisionOf(key) + ", is cut off");
        storeGates.get(leader).cut();
        cloudGates.get(leader).cut();
        Thread.sleep(CUT_MS);
        storeGates.get(leader).heal();
        cloudGates.get(leader).heal();
        journal.print("front-" + leader + " is back");
    }

    /** Sends jobs whose demand rises and falls by turns: for a second more than the pool holds, then nothing. */
    private static void sendLoad(
            Nodes nodes, Journal journal, AtomicBoolean sending, AtomicInteger accepted, Semaphore peaks) {
        int number = 0;
        try {
            while (sending.get()) {
                peaks.release();
                for (int i = 0; i < 8; i++) {
                    int job = ++number;
                    Thread.ofVirtual().start(() -> {
                        try {
                            String id = String.format("%016x", job);
                            String body = "{\"spec\":\"ms=800 cpu=16000 mem=1000\",\"steps\":[{\"count\":4,\"cpu\":16000,"
                                    + "\"memMb\":1000,\"estimateMs\":800}]}";
                            int status = nodes.submit("/p/" + id, body, job % nodes.count());
                            journal.add("job " + id + " " + status);
                            if (status == 200) {
                                accepted.incrementAndGet();
                            }
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
                    Thread.sleep(120);
                }
                Thread.sleep(3000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the orders for a machine that have a lower fence number than an earlier order for it. */
    private static List<String> violations(List<Fleet.Order> orders) {
        Map<String, Fleet.Order> highest = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (Fleet.Order order : orders) {
            Fleet.Order before = highest.get(order.machine());
            if (before != null && order.fence() < before.fence()) {
                found.add(order + " after " + before);
            } else {
                highest.put(order.machine(), order);
            }
        }
        return found;
    }
}
