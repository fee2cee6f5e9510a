package review;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One minion rejects starts while the others are full; jobs that have not begun must be counted as pending. */
final class PendingHidesWaitingJobs {
    private static final long VISIBLE_MS = 3000;
    private static final int JOBS = 10;

    private PendingHidesWaitingJobs() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            Set<String> begun = ConcurrentHashMap.newKeySet();
            Minion.Listener listener = new Minion.Listener() {
                @Override
                public void started(Minion minion, String task, int run) {
                    begun.add(task.substring(0, 16));
                }
            };
            site.addMinions(8, (task, run) -> new Minion.Outcome(60_000, "done"), listener);
            site.putConfig(
                    3,
                    List.of(new Site.Route("route-quote", "/quote/"), new Site.Route("invoice-run", "/invoices/")),
                    List.of("key-1"));
            site.startHosts(3);
            String full = "{\"spec\":\"full\",\"steps\":[{\"count\":7,\"cpu\":62000,\"memMb\":1000,\"estimateMs\":60000}]}";
            site.hosts.get(0).call("POST", "/invoices/aaaa000000000000", Site.HOST, "key-1", full, 3000);
            site.require(
                    "seven minions are full",
                    10_000,
                    () -> site.minions.stream().mapToInt(Minion::runningCount).sum() == 7);
            Thread.sleep(4000);
            for (Minion minion : site.minions) {
                if (trouble && minion.runningCount() == 0) {
                    minion.rejecting = true;
                    site.record.line("minion " + minion.id + " answers starts with 503");
                }
            }
            String body = "{\"spec\":\"quote\",\"steps\":[{\"count\":2,\"cpu\":3000,\"memMb\":1000,\"estimateMs\":800}]}";
            for (int i = 0; i < JOBS; i++) {
                String path = String.format(Locale.ROOT, "/quote/bbbb%012d", i);
                if (site.hosts.get(i % 3).call("POST", path, Site.HOST, "key-1", body, 3000).status() != 200) {
                    throw new Site.CannotRun("a job was not accepted");
                }
            }
            Thread.sleep(VISIBLE_MS + 2000 + 500);
            boolean held = true;
            for (EntryHost host : site.hosts) {
                long waiting = JOBS - begun.stream().filter(id -> id.startsWith("bbbb")).count();
                EntryHost.Answer answer = host.call("GET", "/quote/", Site.HOST, "key-1", "", 3000);
                long pending = Http.JSON.readTree(answer.body()).path("pending").asLong();
                site.record.line(host.name + " gives pending " + pending + ", jobs that have not begun: " + waiting);
                held &= pending * 2 >= waiting;
            }
            return held;
        });
    }
}
