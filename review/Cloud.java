package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** The platform's interface for machines, on which no machine ever moves: the configs have no standby pool and no waves. */
final class Cloud implements AutoCloseable {
    final Http http;
    private final Map<String, Minion> minionByMachine = new LinkedHashMap<>();

    Cloud() throws IOException {
        http = Http.listen(this::handle);
    }

    synchronized void add(String machine, Minion minion) {
        minionByMachine.put(machine, minion);
    }

    private synchronized Http.Reply handle(Http.Call call) {
        if (!call.path().equals("/machines")) {
            return Http.Reply.of(400);
        }
        ObjectNode body = Http.object();
        ArrayNode list = body.putArray("machines");
        minionByMachine.forEach((machine, minion) -> {
            ObjectNode entry = list.addObject()
                    .put("machine", machine)
                    .put("pool", Site.SERVICE)
                    .put("state", "up")
                    .put("zone", "zone-a")
                    .put("id", minion.id);
            entry.putArray("labels").add("a");
            entry.set("capacity", Minion.capacity());
        });
        return new Http.Reply(200, body.put("nextToken", ""));
    }

    @Override
    public void close() {
        http.close();
    }
}
