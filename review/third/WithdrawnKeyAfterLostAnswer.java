package third;

import java.time.Duration;

/**
 * A consumer repeats an accepted request, with a key withdrawn since, at an entry host that the store gives no response
 * to. The answer must not be a success later than revokeMs after the acknowledgement.
 */
final class WithdrawnKeyAfterLostAnswer implements Case.Play {
    private static final long REVOKE_MS = 5000;
    private static final String PATH = "/q/00000000000000e1";
    private static final String JOB =
            "{\"spec\":\"invoice\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estimateMs\":500}]}";

    @Override
    public boolean isBroken(Site site, boolean trouble) throws Exception {
        String route = Site.route("r", "/q/", "");
        site.configure(1, route, Site.tenant("t1", "key-kept", "key-withdrawn"));
        for (int i = 0; i < 4; i++) {
            site.addMinion(new Minion(
                    "i-" + i, "work", "r-" + i / 2, site.store, site.record, (task, spec) -> 500, (a, b, c, d) -> true));
        }
        Site.Node first = site.startNode("front-1");
        Site.Node second = site.startNode("front-2");
        Site.Node third = site.startNode("front-3");
        Thread.sleep(2000);
        // Opens the consumer's channel to the entry host.
        site.send(third, "GET", "/q/", "key-withdrawn", "");
        if (trouble) {
            site.record.add("store", "gives no response to front-3");
            third.storePort.setSilent(true);
        }
        Thread.sleep(500);
        site.submit(first, PATH, "key-withdrawn", JOB);
        site.awaitRunning("00000000000000e1", 1, Duration.ofSeconds(5));
        site.configure(2, route, Site.tenant("t1", "key-kept"));
        long acknowledgedNanos = System.nanoTime();
        Thread.sleep(REVOKE_MS + 600);
        long sentMs = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
        Site.Answer answer = site.send(third, "POST", PATH, "key-withdrawn", JOB);
        third.storePort.setSilent(false);
        site.record.add(
                "case", "sent " + sentMs + " ms after the acknowledgement, answered with " + answer.status());
        return answer.status() >= 200 && answer.status() < 300;
    }
}
