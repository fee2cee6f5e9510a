package third;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;

/** The policy of a queue allows four minions of forty, which do a little more other work than the rest. */
final class AdviceOnOthers implements Case.Play {
    private static final long VALID_MS = 3000;
    private static final int MINIONS = 40;
    private static final int ALLOWED = 4;
    private static final long FINISH_MS = 14_000;
    private static final long LOST_MS = 3000;
    private static final String JOB = "00000000000000c5";
    private static final String WATCH_ALL = "00000000000000a0";
    private static final String WATCH_SOME = "00000000000000a1";

    @Override
    public boolean isBroken(Site site, boolean trouble) throws Exception {
        Set<String> allowed = new HashSet<>();
        HttpServer advice = Json.listen(0, (exchange, body) -> {
            Thread.sleep(20 + body.path("workers").size());
            ObjectNode answer = Json.object().put("validMs", VALID_MS);
            ArrayNode rows = answer.putArray("allowed");
            for (JsonNode worker : body.path("workers")) {
                if (allowed.contains(worker.asText())) {
                    rows.addArray().add(worker.asText()).add(ticket(body.path("step").asText(), worker.asText()));
                }
            }
            site.record.add("advice", "asked " + body + ", allowed " + rows);
            Json.respond(exchange, 200, answer);
        });
        site.setAdvicePort(advice.getAddress().getPort());
        site.configure(
                1,
                Site.route("r", "/q/", ",\"advice\":{\"decideMs\":20,\"periodMs\":1,\"validMs\":" + VALID_MS + "}")
                        + "," + Site.route("w", "/w/", ""),
                Site.tenant("t1", "key-1"));
        for (int i = 0; i < MINIONS; i++) {
            site.addMinion(new Minion(
                    "i-" + i,
                    "work",
                    "r-" + i / 20,
                    site.store,
                    site.record,
                    (task, spec) -> spec.equals("watch") ? -1 : 400,
                    (task, ticket, minion, born) -> !task.startsWith(JOB)
                            || ticket.equals(ticket(task.substring(0, task.lastIndexOf('.')), minion))));
        }
        Site.Node first = site.startNode("front-1");
        site.startNode("front-2");
        Thread.sleep(2000);
        site.submit(first, "/w/" + WATCH_ALL, "key-1", watch(MINIONS));
        site.awaitRunning(WATCH_ALL, MINIONS, Duration.ofSeconds(15));
        site.submit(first, "/w/" + WATCH_SOME, "key-1", watch(ALLOWED));
        site.awaitRunning(WATCH_SOME, ALLOWED, Duration.ofSeconds(15));
        // The policy allows those with the second work item, or without the disruption as many of the others.
        for (Minion minion : site.minions) {
            if (allowed.size() < ALLOWED && (minion.running(WATCH_SOME) > 0) == trouble) {
                allowed.add(minion.id());
            }
        }
        site.record.add("case", "the policy allows " + allowed);
        Thread.sleep(2000);
        site.submit(
                first,
                "/q/" + JOB,
                "key-1",
                "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estimateMs\":400}]}");
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

    private static String watch(int count) {
        return "{\"spec\":\"watch\",\"steps\":[{\"count\":" + count
                + ",\"cpu\":1000,\"memMb\":100,\"antiAffinity\":1,\"longRunning\":true}]}";
    }

    private static String ticket(String step, String minion) {
        return Integer.toHexString((step + minion).hashCode());
    }
}
