package third;

import java.time.Duration;

/**
 * A job whose work items take much longer than estimated runs on all minions of a service, on a small part of their
 * capacity. A job that is accepted after it has to begin.
 */
final class LongJobClosesPool implements Case.Play {
    private static final long FINISH_MS = 14_000;
    private static final long LOST_MS = 3000;
    private static final int MINIONS = 4;
    private static final long ESTIMATE_MS = 5000;
    private static final long FACTOR = 8;

    @Override
    public boolean isBroken(Site site, boolean trouble) throws Exception {
        site.configure(1, Site.route("r", "/q/", ""), Site.tenant("t1", "key-1"));
        long longMs = trouble ? ESTIMATE_MS * FACTOR : ESTIMATE_MS;
        for (int i = 0; i < MINIONS; i++) {
            site.addMinion(new Minion(
                    "i-" + i,
                    "work",
                    "r-" + i / 2,
                    site.store,
                    site.record,
                    (task, spec) -> spec.equals("long") ? longMs : 400,
                    (a, b, c, d) -> true));
        }
        Site.Node first = site.startNode("front-1");
        site.startNode("front-2");
        Thread.sleep(2000);
        site.submit(first, "/q/00000000000000a1", "key-1", job("long", ESTIMATE_MS));
        site.awaitRunning("00000000000000a1", MINIONS, Duration.ofSeconds(5));
        Thread.sleep(4000);
        site.submit(first, "/q/00000000000000a2", "key-1", job("short", 400));
        site.record.add("case", "end of the traffic");
        Thread.sleep(FINISH_MS);
        boolean begun = false;
        long endNanos = System.nanoTime() + LOST_MS * 1_000_000;
        while (System.nanoTime() - endNanos < 0) {
            begun |= site.running("00000000000000a2") > 0;
            Thread.sleep(10);
        }
        Site.Answer answer = site.send(first, "GET", "/q/00000000000000a2", "key-1", "");
        boolean done = answer.body().contains("completed");
        site.record.add("case", "finish_s and 3 s after the end of the traffic the job has "
                + (begun || done ? "begun" : "not begun; each minion runs 1 core of 64"));
        return !begun && !done;
    }

    private static String job(String spec, long estimateMs) {
        return "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + MINIONS
                + ",\"cpu\":1000,\"memMb\":100,\"estimateMs\":" + estimateMs + ",\"antiAffinity\":1}]}";
    }
}
