package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The leader is killed while a later occurrence of a scheduled job runs and an earlier one still waits for the minion that
 * its policy allows. The earlier one must run once that minion is free.
 */
final class OccurrenceForgotten {
    private static final String FILLER_ID = "f00000000000000a";
    private static final String ID = "6ad20a21d94b36e5";
    private static final int FILLER_MS = 20_000;
    /** bounds.finish_s. */
    private static final long FINISH_MS = 14_000;

    private OccurrenceForgotten() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            Set<String> started = ConcurrentHashMap.newKeySet();
            Minion.Listener listener = new Minion.Listener() {
                @Override
                public void started(Minion minion, String task, int run) {
                    started.add(task);
                }
            };
            site.addMinions(
                    8,
                    (task, run) -> new Minion.Outcome(task.startsWith(FILLER_ID) ? FILLER_MS : 2000, "done"),
                    listener);
            Site.Route plain = new Site.Route("route-quote", "/quote/");
            Site.Route advised = new Site.Route("inspection-report", "/inspect/", true);
            site.putConfig(3, List.of(plain, advised), List.of("key-1"));
            String[] allowed = {"", ""};
            Http advice = Http.listen(call -> {
                String step = call.body().path("step").asText();
                ObjectNode body = Http.object();
                ArrayNode rows = body.putArray("allowed");
                call.body().path("workers").forEach(worker -> {
                    if (worker.asText().equals(allowed[step.equals(ID + ".0.0") ? 0 : 1])) {
                        rows.addArray().add(worker.asText()).add("ticket-" + step);
                    }
                });
                Thread.sleep(30);
                site.record.line("advice for " + step + ": " + rows);
                return new Http.Reply(200, body.put("validMs", 3000));
            });
            site.settings.put("advice", advice.address());
            site.startHosts(3);
            String filler = "{\"spec\":\"fill\",\"steps\":[{\"count\":1,\"cpu\":63000,\"memMb\":1000,\"estimateMs\":20000}]}";
            site.hosts.get(0).call("POST", plain.prefix() + FILLER_ID, Site.HOST, "key-1", filler, 3000);
            site.require("one minion is full", 5000, () -> started.contains(FILLER_ID + ".0.0.0"));
            for (Minion minion : site.minions) {
                allowed[minion.isRunning(FILLER_ID + ".0.0.0") ? 0 : 1] = minion.id;
            }
            site.record.line("occurrence 0 may run on " + allowed[0] + ", which is full; occurrence 1 on " + allowed[1]);
            String body = "{\"spec\":\"inspect\",\"repeatCount\":2,\"firstMs\":" + (System.currentTimeMillis() + 500)
                    + ",\"intervalMs\":300,\"steps\":[{\"count\":2,\"cpu\":7700,\"memMb\":28000,\"estimateMs\":2000}]}";
            if (site.hosts.get(0).call("POST", advised.prefix() + ID, Site.HOST, "key-1", body, 3000).status() != 200) {
                throw new Site.CannotRun("the job was not accepted");
            }
            site.require("occurrence 1 runs", 10_000, () -> started.contains(ID + ".1.0.0"));
            if (started.contains(ID + ".0.0.0")) {
                throw new Site.CannotRun("occurrence 0 has begun");
            }
            Thread.sleep(500);
            if (trouble) {
                EntryHost leader = site.leader();
                leader.signal("KILL");
                Thread.sleep(1000);
                leader.start();
            }
            site.require(
                    "the full minion is free",
                    FILLER_MS + 5000,
                    () -> site.minions.stream().noneMatch(minion -> minion.isRunning(FILLER_ID + ".0.0.0")));
            Thread.sleep(FINISH_MS + 10_000);
            site.hosts.get(1).call("GET", advised.prefix() + ID, Site.HOST, "key-1", "", 3000);
            boolean ran = started.contains(ID + ".0.0.0") && started.contains(ID + ".0.0.1");
            site.record.line("occurrence 0 " + (ran ? "has run" : "has not run"));
            return ran;
        });
    }
}
