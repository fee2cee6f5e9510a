package review;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/** A work item that lasts ends as done; it must be restarted. */
final class LastingWorkEndsDone {
    private static final String ID = "5c0e7a21d94b36f8";
    private static final int ITEMS = 5;
    /** RULES.md, Jobs, LOST: for 3 s on end, from 6 s after the last run. */
    private static final long BOUND_MS = 9_000;

    private static final long SLACK_MS = 6_000;

    private LastingWorkEndsDone() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            ConcurrentHashMap<String, Integer> lastRun = new ConcurrentHashMap<>();
            Minion.Listener listener = new Minion.Listener() {
                @Override
                public void started(Minion minion, String task, int run) {
                    lastRun.merge(task, run, Math::max);
                }
            };
            site.addMinions(8, (task, run) -> new Minion.Outcome(0, ""), listener);
            site.putConfig(3, List.of(new Site.Route("manifest-archive", "/archive/")), List.of("key-1"));
            site.startHosts(3);
            String body = "{\"spec\":\"archive\",\"steps\":[{\"count\":" + ITEMS
                    + ",\"cpu\":5400,\"memMb\":35000,\"estimateMs\":900,\"antiAffinity\":1,\"longRunning\":true,"
                    + "\"image\":\"img-1\",\"mayMiss\":1}]}";
            if (site.hosts.get(0).call("POST", "/archive/" + ID, Site.HOST, "key-1", body, 3000).status() != 200) {
                throw new Site.CannotRun("the job was not accepted");
            }
            site.require("all work items of the job run", 10_000, () -> lastRun.size() == ITEMS);
            Thread.sleep(4000);
            // The stand-in shows that a work item that ends in another way is restarted.
            end(site, ID + ".0.0.1", "failed");
            site.require("the work item that failed runs again", 9_000, () -> lastRun.get(ID + ".0.0.1") > 1);
            Thread.sleep(8000);
            String task = ID + ".0.0.2";
            if (trouble) {
                end(site, task, "done");
            }
            Thread.sleep(BOUND_MS + SLACK_MS);
            boolean runs = site.minions.stream().anyMatch(minion -> minion.isRunning(task));
            site.record.line("work item " + task + (runs ? " runs" : " has not run for " + (BOUND_MS + SLACK_MS) + " ms")
                    + ", highest run " + lastRun.get(task));
            if (trouble && !runs) {
                // What the caller sees when the others end in the same way.
                for (int i = 0; i < ITEMS; i++) {
                    if (i != 2) {
                        end(site, ID + ".0.0." + i, "done");
                    }
                }
                Thread.sleep(4000);
            }
            site.hosts.get(1).call("GET", "/archive/" + ID, Site.HOST, "key-1", "", 3000);
            return runs;
        });
    }

    private static void end(Site site, String task, String how) throws Site.CannotRun {
        for (Minion minion : site.minions) {
            if (minion.endNow(task, how)) {
                return;
            }
        }
        throw new Site.CannotRun(task + " does not run");
    }
}
