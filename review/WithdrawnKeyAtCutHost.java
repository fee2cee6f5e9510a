package review;

import java.util.List;

/**
 * A key is withdrawn while an entry host is partitioned from the store. The host must not answer a call with that key
 * with success later than revokeMs after the acknowledgement of the withdrawal.
 */
final class WithdrawnKeyAtCutHost {
    private static final String ID = "91d40a21d94b3677";
    private static final long REVOKE_MS = 5000;

    private WithdrawnKeyAtCutHost() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            site.addMinions(8, (task, run) -> new Minion.Outcome(1500, "done"), new Minion.Listener() {});
            Site.Route route = new Site.Route("invoice-run", "/invoices/");
            site.putConfig(3, List.of(route), List.of("key-1", "key-2"));
            site.startHosts(3);
            EntryHost host = site.follower();
            String body = "{\"spec\":\"invoice\",\"steps\":[{\"count\":3,\"cpu\":7700,\"memMb\":28000,\"estimateMs\":1500}]}";
            String path = route.prefix() + ID;
            if (host.call("POST", path, Site.HOST, "key-1", body, 3000).status() != 200) {
                throw new Site.CannotRun("the job was not accepted");
            }
            Thread.sleep(1000);
            if (trouble) {
                host.access.mode = Store.Mode.SILENT;
                site.record.line(host.name + " is partitioned from the store");
            }
            site.putConfig(5, List.of(route), List.of("key-2"));
            long acknowledgedMs = Record.nowMs();
            Thread.sleep(REVOKE_MS + 500);
            // A request with the same ID arrives seconds after the 2xx response.
            long sentAfterMs = Record.nowMs() - acknowledgedMs;
            int repeated = host.call("POST", path, Site.HOST, "key-1", body, 3000).status();
            int query = host.call("GET", path, Site.HOST, "key-1", "", 3000).status();
            int other = site.leader().call("POST", path, Site.HOST, "key-1", body, 3000).status();
            host.access.mode = Store.Mode.SERVES;
            site.record.line("sent " + sentAfterMs + " ms after the withdrawal was acknowledged: POST " + repeated
                    + ", GET " + query + "; POST at another host " + other);
            return repeated / 100 != 2 && query / 100 != 2 && other / 100 != 2;
        });
    }
}
