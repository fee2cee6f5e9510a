package review;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store does a write of one entry host and loses the response; just after that the caller's key is withdrawn. The
 * caller must not be told that the job was rejected, as it runs.
 */
final class RefusedButStored {
    private static final String ID = "2f6c0a21d94b3611";

    private RefusedButStored() {}

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> {
            Set<String> started = ConcurrentHashMap.newKeySet();
            Minion.Listener listener = new Minion.Listener() {
                @Override
                public void started(Minion minion, String task, int run) {
                    started.add(task);
                }
            };
            site.addMinions(8, (task, run) -> new Minion.Outcome(1500, "done"), listener);
            Site.Route route = new Site.Route("invoice-run", "/invoices/");
            site.putConfig(3, List.of(route), List.of("key-1", "key-2"));
            site.startHosts(3);
            Thread.sleep(2000);
            EntryHost host = site.follower();
            if (trouble) {
                host.access.mode = Store.Mode.LOSES_ANSWERS_OF_WRITES;
            }
            Thread operator = new Thread(() -> {
                try {
                    Site.await(3000, () -> !started.isEmpty());
                    // The job was accepted by the store before the key is taken away.
                    site.putConfig(5, List.of(route), List.of("key-2"));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            operator.start();
            String body = "{\"spec\":\"invoice\",\"steps\":[{\"count\":3,\"cpu\":7700,\"memMb\":28000,\"estimateMs\":1500}]}";
            int status = host.call("POST", route.prefix() + ID, Site.HOST, "key-1", body, 3000).status();
            operator.join();
            host.access.mode = Store.Mode.SERVES;
            Thread.sleep(5000);
            site.hosts.get(2).call("GET", route.prefix() + ID, Site.HOST, "key-2", "", 3000);
            boolean rejected = status == 401 || status == 403 || status == 404 || status == 429 || status == 503;
            site.record.line("answer " + status + ", work items that started: " + started.size());
            return !(rejected && !started.isEmpty());
        });
    }
}
