package second;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A minion crashes and starts again under its identifier; some seconds later it is lost for good. The work items that
 * last and that it ran are to run again on the other minions, which are nearly empty.
 */
public final class FlappingMinion {
    private static final int HOSTS = 3;
    private static final int MACHINES = 8;
    private static final long DOWN_MS = 500;
    /** LOST: from 6 s after the last run, and 3 s after 4 s of calm. */
    private static final long LIMIT_MS = 7000;

    private static final long OBSERVED_MS = 30_000;

    private FlappingMinion() {}

    public static void main(String[] arguments) throws Exception {
        Path record = Path.of(arguments[0]);
        Journal journal = new Journal();
        Path folder = Files.createTempDirectory("flapping-");
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
        store.put("op/config", SecondLife.CONFIG);
        for (int i = 0; i < HOSTS; i++) {
            nodes.start(store.port(), fleet.port());
        }
        if (!nodes.awaitReady(Duration.ofSeconds(25))) {
            journal.print("not all entry hosts are ready");
            return 2;
        }
        Thread.sleep(4000);
        Set<String> expected = new HashSet<>();
        submit(nodes, journal, expected, 1);
        Thread.sleep(3000);
        Fleet.Machine flapping = fleet.machines().get(0);
        if (trouble) {
            journal.print("minion " + flapping.minion.id + " crashes");
            fleet.restart(flapping, DOWN_MS);
            Thread.sleep(1000);
        }
        submit(nodes, journal, expected, 2);
        Thread.sleep(2000);
        if (trouble) {
            journal.print("its runs: " + flapping.minion.runs());
            fleet.lose(flapping);
        }
        Map<String, Long> idleSinceNanos = new HashMap<>();
        Map<String, Long> longestMs = new HashMap<>();
        long untilNanos = System.nanoTime() + OBSERVED_MS * 1_000_000;
        while (System.nanoTime() < untilNanos) {
            Set<String> running = fleet.runs().keySet();
            long now = System.nanoTime();
            for (String item : expected) {
                if (running.contains(item)) {
                    idleSinceNanos.remove(item);
                } else {
                    long sinceNanos = idleSinceNanos.computeIfAbsent(item, key -> now);
                    longestMs.merge(item, (now - sinceNanos) / 1_000_000, Math::max);
                }
            }
            Thread.sleep(50);
        }
        List<String> violations = new ArrayList<>();
        longestMs.forEach((item, ms) -> {
            if (ms > 1000) {
                journal.print(item + " had no run for " + ms + " ms");
            }
            if (ms > LIMIT_MS) {
                violations.add(item);
            }
        });
        violations.forEach(item -> journal.print("LOST broken: " + item));
        journal.print(expected.size() + " work items that last, " + violations.size() + " without a run for over "
                + LIMIT_MS + " ms");
        return expected.isEmpty() ? 2 : violations.isEmpty() ? 0 : 1;
    }

    private static void submit(Nodes nodes, Journal journal, Set<String> expected, int number)
            throws InterruptedException {
        String id = String.format("%016x", number);
        int status = nodes.submit(
                "/p/" + id,
                "{\"spec\":\"cpu=1000 mem=100\",\"steps\":[{\"count\":" + MACHINES
                        + ",\"cpu\":1000,\"memMb\":100,\"estimateMs\":900,\"longRunning\":true}]}",
                number % HOSTS);
        journal.print("job " + id + " " + status);
        if (status == 200) {
            for (int i = 0; i < MACHINES; i++) {
                expected.add(id + ".0.0." + i);
            }
        }
    }
}
