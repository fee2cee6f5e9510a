package second;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Minions without work crash and start again under their identifiers. Soon after, they are cut off while they run work
 * items that last.
 */
public final class SecondLife {
    private static final int HOSTS = 3;
    private static final int MACHINES = 40;
    private static final int CRASHED = 5;
    private static final int CYCLES = 6;
    private static final long DOWN_MS = 500;
    private static final long CRASH_GAP_MS = 300;
    private static final long CUT_MS = 5500;

    static final String CONFIG = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"127.0.0.1\",\"prefix\":\"/p/\","
            + "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"aimMs\":600,\"priority\":0,"
            + "\"service\":\"work\",\"maxAttempts\":3,\"stretchFactor\":1.6,\"anonymous\":true}],"
            + "\"services\":[{\"name\":\"work\",\"rejectsOverload\":true}],"
            + "\"tenants\":[],\"limits\":{}}";

    private SecondLife() {}

    public static void main(String[] arguments) throws Exception {
        Path record = Path.of(arguments[0]);
        boolean trouble = arguments[1].equals("1");
        Journal journal = new Journal();
        Path folder = Files.createTempDirectory("second-life-");
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
            fleet.add(String.format("m-%02d", i), "r1-" + i / 4, "work");
        }
        store.put("op/config", CONFIG);
        for (int i = 0; i < HOSTS; i++) {
            nodes.start(store.port(), fleet.port());
        }
        if (!nodes.awaitReady(Duration.ofSeconds(25))) {
            journal.print("not all entry hosts are ready");
            return 2;
        }
        Thread.sleep(4000);
        Set<String> twice = new TreeSet<>();
        int accepted = 0;
        for (int cycle = 0; cycle < CYCLES && twice.isEmpty(); cycle++) {
            List<Fleet.Machine> crashed = new ArrayList<>();
            for (int i = 0; i < CRASHED; i++) {
                crashed.add(fleet.machines().get((cycle * CRASHED + i) % MACHINES));
            }
            if (trouble) {
                journal.print(CRASHED + " of " + MACHINES + " minions crash, one after the other");
                List<Thread> restarts = new ArrayList<>();
                for (Fleet.Machine machine : crashed) {
                    restarts.add(Thread.ofVirtual().start(() -> {
                        try {
                            fleet.restart(machine, DOWN_MS);
                        } catch (Exception e) {
                            e.printStackTrace();
                        }
                    }));
                    Thread.sleep(CRASH_GAP_MS);
                }
                for (Thread restart : restarts) {
                    restart.join();
                }
            }
            Thread.sleep(500);
            String id = String.format("%016x", cycle + 1);
            int status = nodes.submit(
                    "/p/" + id,
                    "{\"spec\":\"cpu=1000 mem=100\",\"steps\":[{\"count\":" + MACHINES
                            + ",\"cpu\":1000,\"memMb\":100,\"estimateMs\":900,\"antiAffinity\":2,\"longRunning\":true}]}",
                    cycle % HOSTS);
            journal.print("job " + id + " " + status);
            accepted += status == 200 ? 1 : 0;
            Thread.sleep(1000);
            if (trouble) {
                crashed.forEach(machine -> machine.gate.cut());
                journal.print("these minions are cut off");
            }
            long untilNanos = System.nanoTime() + CUT_MS * 1_000_000;
            while (System.nanoTime() < untilNanos) {
                for (Map.Entry<String, List<String>> runs : fleet.runs().entrySet()) {
                    if (runs.getValue().size() > 1 && twice.add(runs.getKey())) {
                        journal.print("TWICE broken: " + runs.getKey() + " is running as " + runs.getValue());
                    }
                }
                Thread.sleep(50);
            }
            if (trouble) {
                crashed.forEach(machine -> machine.gate.heal());
                journal.print("these minions are back");
            }
            Thread.sleep(1000);
            journal.print("cancel " + nodes.call(cycle % HOSTS, "DELETE", "/p/" + id, ""));
            Thread.sleep(4000);
        }
        journal.print(accepted + " jobs accepted, " + twice.size() + " work items seen running twice at a time");
        if (accepted == 0) {
            return 2;
        }
        return twice.isEmpty() ? 0 : 1;
    }
}
