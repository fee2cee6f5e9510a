package review;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A route is removed and added again while a job of its queue runs, of which one run fails meanwhile. */
final class RouteBackAfterFailure {
    private static final String ID = "7b1e0a21d94b36c2";
    private static final int MAX_ATTEMPTS = 3;
    private static final Site.Route ROUTE = new Site.Route("route-quote", "/quote/");
    private static final Site.Route OTHER = new Site.Route("slot-check", "/slots/");

    private RouteBackAfterFailure() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            AtomicInteger failed = new AtomicInteger();
            Minion.Listener listener = new Minion.Listener() {
                @Override
                public void ended(Minion minion, String task, int run, String how) {
                    failed.addAndGet(how.equals("failed") ? 1 : 0);
                }
            };
            // The first run of one work item fails; all other runs are done.
            site.addMinions(
                    8,
                    (task, run) -> task.endsWith(".0.0.0") && run == 1
                            ? new Minion.Outcome(4000, "failed")
                            : new Minion.Outcome(8000, "done"),
                    listener);
            site.putConfig(3, List.of(ROUTE, OTHER), List.of("key-1"));
            site.startHosts(3);
            String body = "{\"spec\":\"quote\",\"steps\":[{\"count\":3,\"cpu\":3500,\"memMb\":13000,\"estimateMs\":5000}]}";
            if (site.hosts.get(0).call("POST", ROUTE.prefix() + ID, Site.HOST, "key-1", body, 3000).status() != 200) {
                throw new Site.CannotRun("the job was not accepted");
            }
            site.require(
                    "the job runs",
                    5000,
                    () -> site.minions.stream().mapToInt(Minion::runningCount).sum() == 3);
            Thread.sleep(1000);
            if (trouble) {
                site.putConfig(5, List.of(OTHER), List.of("key-1"));
            }
            site.require("the first run has failed", 10_000, () -> failed.get() == 1);
            Thread.sleep(1500);
            if (trouble) {
                site.putConfig(8, List.of(ROUTE, OTHER), List.of("key-1"));
            }
            // configApplyMs is 2 s.
            Thread.sleep(3000);
            String state = "";
            for (int i = 0; i < 25 && !state.contains("completed") && !state.contains("failed"); i++) {
                EntryHost host = site.hosts.get(i % site.hosts.size());
                state = host.call("GET", ROUTE.prefix() + ID, Site.HOST, "key-1", "", 3000).body();
                Thread.sleep(1000);
            }
            site.record.line("runs that ended failed: " + failed.get() + ", maxAttempts " + MAX_ATTEMPTS);
            return !(state.contains("failed") && failed.get() < MAX_ATTEMPTS);
        });
    }
}
