package third;

import java.time.Duration;

/** A tenant's cap goes down below what one work item of its accepted job uses. The job has to go on. */
final class CapBelowWorkItem implements Case.Play {
    private static final long FINISH_MS = 14_000;
    private static final long LOST_MS = 3000;
    private static final long CAP_CPU = 40_000;
    private static final long LOW_CAP_CPU = 5000;
    private static final String JOB = "00000000000000f1";

    @Override
    public boolean isBroken(Site site, boolean trouble) throws Exception {
        String route = Site.route("r", "/q/", "");
        site.configure(1, route, Site.tenant("t1", CAP_CPU, "key-1"));
        for (int i = 0; i < 4; i++) {
            site.addMinion(new Minion(
                    "i-" + i,
                    "work",
                    "r-" + i / 2,
                    site.store,
                    site.record,
                    (task, spec) -> task.startsWith(JOB + ".0.0.") ? 3000 : 500,
                    (a, b, c, d) -> true));
        }
        Site.Node first = site.startNode("front-1");
        site.startNode("front-2");
        Thread.sleep(2000);
        site.submit(
                first,
                "/q/" + JOB,
                "key-1",
                "{\"spec\":\"invoice\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":100,\"estimateMs\":3000},"
                        + "{\"count\":2,\"cpu\":6000,\"memMb\":100,\"estimateMs\":500,\"after\":[0]}]}");
        site.awaitRunning(JOB, 1, Duration.ofSeconds(5));
        if (trouble) {
            site.configure(2, route, Site.tenant("t1", LOW_CAP_CPU, "key-1"));
        }
        site.record.add("case", "end of the traffic");
        Thread.sleep(FINISH_MS);
        int most = 0;
        long endNanos = System.nanoTime() + LOST_MS * 1_000_000;
        while (System.nanoTime() - endNanos < 0) {
            most = Math.max(most, site.running(JOB));
            Thread.sleep(10);
        }
        String state = site.send(first, "GET", "/q/" + JOB, "key-1", "").body();
        site.record.add(
                "case",
                "finish_s and 3 s after the end of the traffic at most " + most + " work items run and the job is " + state);
        return most == 0 && !state.contains("completed");
    }
}
