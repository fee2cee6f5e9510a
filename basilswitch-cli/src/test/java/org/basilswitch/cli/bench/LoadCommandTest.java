package org.basilswitch.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.worker.ExecutionLog;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class LoadCommandTest {

    /** Guards against an upgrade to HTTP/2, after which the client may fail to read a large execution record. */
    @Test
    public void executionRecordIsReadWithoutProtocolUpgrade() throws Exception {
        ExecutionLog.Snapshot snapshot = new ExecutionLog.Snapshot(Map.of(), Map.of("connections", 3L), List.of());
        List<String> upgrades = new ArrayList<>();
        Vertx vertx = Vertx.vertx();
        try {
            // A server that ignores the upgrade passes its header on to the handler.
            HttpServer server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                    .requestHandler(request -> {
                        upgrades.add(String.valueOf(request.getHeader("Upgrade")));
                        request.response().end(Buffer.buffer(RecordCodec.encode(snapshot)));
                    })
                    .listen(0, "127.0.0.1")
                    .await();
            assertEquals(LoadCommand.read("127.0.0.1:" + server.actualPort()), snapshot);
        } finally {
            vertx.close().await();
        }
        assertEquals(upgrades, List.of("null"));
    }
}
