package third;

import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;

/**
 * Jobs come at once to a queue with advice. The service answers one call of a machine at a time, each in less than a
 * second, with tickets that are valid for three seconds.
 */
final class AdviceNeverInTime implements Case.Play {
    private static final long VALID_MS = 3000;
    private static final long DECIDE_MS = 300;
    private static final long PERIOD_MS = 30;
    private static final int MINIONS = 20;
    private static final int JOBS = 6;
    private static final String WATCH = "00000000000000aa";
    private static final long FINISH_MS = 14_000;
    private static final long LOST_MS = 3000;
    private static final long APART_MS = 2500;

    @Override
    public boolean isBroken(Site site, boolean trouble) throws Exception {
        ReentrantLock[] turns = {new ReentrantLock(true), new ReentrantLock(true)};
        HttpServer[] services = new HttpServer[2];
        for (int i = 0; i < services.length; i++) {
            ReentrantLock turn = turns[i];
            String machine = "front-" + (i + 1);
            services[i] = Json.listen(0, (exchange, body) -> {
                double arrived = site.record.seconds();
                turn.lock();
                try {
                    Thread.sleep(DECIDE_MS + PERIOD_MS * body.path("workers").size());
                } finally {
                    turn.unlock();
                }
                ObjectNode answer = Json.object().put("validMs", VALID_MS);
                ArrayNode rows = answer.putArray("allowed");
                for (JsonNode worker : body.path("workers")) {
                    rows.addArray().add(worker.asText()).add(ticket(body.path("step").asText(), worker.asText()));
                }
                site.record.add(
                        "advice",
                        "call of " + machine + " for step " + body.path("step").asText() + " on "
                                + body.path("workers").size() + " minions answered after "
                                + Math.round((site.record.seconds() - arrived) * 1000) + " ms");
                Json.respond(exchange, 200, answer);
            });
        }
        site.configure(
                1,
                Site.route(
                        "r",
                        "/q/",
                        ",\"advice\":{\"decideMs\":" + DECIDE_MS + ",\"periodMs\":" + PERIOD_MS + ",\"validMs\":"
                                + VALID_MS + "}")
                        + "," + Site.route("w", "/w/", ""),
                Site.tenant("t1", "key-1"));
        for (int i = 0; i < MINIONS; i++) {
            site.addMinion(new Minion(
                    "i-" + i,
                    "work",
                    "r-" + i / 4,
                    site.store,
                    site.record,
                    (task, spec) -> spec.equals("watch") ? -1 : 400,
                    (task, ticket, minion, born) -> task.startsWith(WATCH)
                            || ticket.equals(ticket(task.substring(0, task.lastIndexOf('.')), minion))));
        }
        site.setAdvicePort(services[0].getAddress().getPort());
        Site.Node first = site.startNode("front-1");
        site.setAdvicePort(services[1].getAddress().getPort());
        site.startNode("front-2");
        Thread.sleep(2000);
        // Work that lasts on each minion, so that no machine of the service is idle and moves to the spare pool.
        site.submit(
                first,
                "/w/" + WATCH,
                "key-1",
                "{\"spec\":\"watch\",\"steps\":[{\"count\":" + MINIONS
                        + ",\"cpu\":1000,\"memMb\":100,\"antiAffinity\":1,\"longRunning\":true}]}");
        site.awaitRunning(WATCH, MINIONS, Duration.ofSeconds(10));
        Thread.sleep(2000);
        for (int i = 0; i < JOBS; i++) {
            site.submit(
                    first,
                    path(i),
                    "key-1",
                    "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estimateMs\":400}]}");
            Thread.sleep(trouble ? 0 : APART_MS);
        }
        site.record.add("case", "end of the traffic");
        Thread.sleep(FINISH_MS);
        boolean[] begun = new boolean[JOBS];
        long endNanos = System.nanoTime() + LOST_MS * 1_000_000;
        while (System.nanoTime() - endNanos < 0) {
            for (int i = 0; i < JOBS; i++) {
                begun[i] |= site.running(path(i).substring("/q/".length())) > 0;
            }
            Thread.sleep(10);
        }
        int waiting = countWaiting(site, first, begun);
        site.record.add(
                "case", "finish_s and 3 s after the end of the traffic " + waiting + " of " + JOBS + " jobs have not begun");
        if (waiting > 0) {
            Thread.sleep(20_000);
            site.record.add(
                    "case",
                    "20 s later " + countWaiting(site, first, new boolean[JOBS]) + " of " + JOBS + " jobs have not begun");
        }
        return waiting > 0;
    }

    private static int countWaiting(Site site, Site.Node node, boolean[] begun) throws InterruptedException {
        int waiting = 0;
        for (int i = 0; i < JOBS; i++) {
            String state = site.send(node, "GET", path(i), "key-1", "").body();
            waiting += begun[i] || state.contains("completed") ? 0 : 1;
        }
        return waiting;
    }

    private static String path(int job) {
        return "/q/00000000000000d" + job;
    }

    private static String ticket(String step, String minion) {
        return Integer.toHexString((step + minion).hashCode());
    }
}
