package review;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down for some seconds when the records of a job that has ended are due for deletion; later it forgets its
 * history. The job must not run again.
 */
final class EndedJobRunsAgain {
    private static final String ID = "3e5d0a21d94b3698";
    /** Short, so that the script ends in time; the system keeps the records for twice this time. */
    private static final int STATUS_S = 20;

    private static final long DELETION_MS = 2 * STATUS_S * 1000;
    private static final long OUTAGE_MS = 4500;

    private EndedJobRunsAgain() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            Set<String> done = ConcurrentHashMap.newKeySet();
            AtomicInteger again = new AtomicInteger();
            Minion.Listener listener = new Minion.Listener() {
                @Override
                public void started(Minion minion, String task, int run) {
                    if (done.contains(task)) {
                        again.incrementAndGet();
                        site.record.line("started again after it was done: " + task + " run " + run);
                    }
                }

                @Override
                public void ended(Minion minion, String task, int run, String how) {
                    if (how.equals("done")) {
                        done.add(task);
                    }
                }
            };
            site.addMinions(8, (task, run) -> new Minion.Outcome(1000, "done"), listener);
            Site.Route route = new Site.Route("invoice-run", "/invoices/");
            site.putConfig(3, List.of(route), List.of("key-1"));
            site.settings.put("bounds.status_s", Integer.toString(STATUS_S));
            site.startHosts(3);
            String body = "{\"spec\":\"invoice\",\"steps\":[{\"count\":3,\"cpu\":7700,\"memMb\":28000,\"estimateMs\":1000}]}";
            String path = route.prefix() + ID;
            if (site.hosts.get(0).call("POST", path, Site.HOST, "key-1", body, 3000).status() != 200) {
                throw new Site.CannotRun("the job was not accepted");
            }
            site.require("all work items are done", 10_000, () -> done.size() == 3);
            Thread.sleep(1000);
            String state = site.hosts.get(1).call("GET", path, Site.HOST, "key-1", "", 3000).body();
            if (!state.contains("completed")) {
                throw new Site.CannotRun("the job is not shown as completed");
            }
            long endedMs = Record.nowMs();
            Thread.sleep(DELETION_MS - 2500);
            if (trouble) {
                site.store.beginOutage();
                Thread.sleep(OUTAGE_MS);
                site.store.endOutage();
            } else {
                Thread.sleep(OUTAGE_MS);
            }
            Thread.sleep(3000);
            site.record.line("the job ended " + (Record.nowMs() - endedMs) + " ms ago");
            if (trouble) {
                site.store.forgetHistory();
            }
            Thread.sleep(12_000);
            site.record.line("work items done: " + done.size() + ", starts after that: " + again.get());
            return again.get() == 0;
        });
    }
}
