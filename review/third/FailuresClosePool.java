package third;

import java.time.Duration;

/** All work items that last fail once at the same moment, as when something that they all need is away for a moment. */
final class FailuresClosePool implements Case.Play {
    private static final long RESTART_MS = 6000;
    private static final long LOST_MS = 3000;
    private static final int MINIONS = 4;
    private static final int JOBS = 4;

    @Override
    public boolean isBroken(Site site, boolean trouble) throws Exception {
        site.configure(1, Site.route("r", "/q/", ""), Site.tenant("t1", "key-1"));
        for (int i = 0; i < MINIONS; i++) {
            site.addMinion(new Minion(
                    "i-" + i, "work", "r-" + i / 2, site.store, site.record, (task, spec) -> -1, (a, b, c, d) -> true));
        }
        Site.Node first = site.startNode("front-1");
        site.startNode("front-2");
        Thread.sleep(2000);
        for (int i = 0; i < JOBS; i++) {
            site.submit(
                    first,
                    "/q/00000000000000b" + i,
                    "key-1",
                    "{\"spec\":\"watch\",\"steps\":[{\"count\":" + MINIONS
                            + ",\"cpu\":1000,\"memMb\":100,\"antiAffinity\":1,\"longRunning\":true}]}");
        }
        site.awaitRunning("00000000000000b", JOBS * MINIONS, Duration.ofSeconds(10));
        Thread.sleep(8000);
        site.record.add("case", "all is calm since more than 7 s");
        long failedNanos = System.nanoTime();
        if (trouble) {
            site.minions.forEach(Minion::failAll);
        }
        Thread.sleep(RESTART_MS);
        int most = 0;
        long endNanos = System.nanoTime() + LOST_MS * 1_000_000;
        while (System.nanoTime() - endNanos < 0) {
            most = Math.max(most, site.running("00000000000000b"));
            Thread.sleep(10);
        }
        site.record.add("case", "from 6 s to 9 s after their last run at most " + most + " of "
                + JOBS * MINIONS + " work items run; 64 cores are free on each minion");
        if (most < JOBS * MINIONS) {
            // The rule is judged; this only tells how long it takes.
            while (site.running("00000000000000b") < JOBS * MINIONS && System.nanoTime() - failedNanos < 40_000_000_000L) {
                Thread.sleep(20);
            }
            site.record.add(
                    "case", site.running("00000000000000b") + " run again " + (System.nanoTime() - failedNanos) / 1_000_000 + " ms after they failed");
        }
        return most < JOBS * MINIONS;
    }
}
