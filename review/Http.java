package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on loopback; bodies are JSON. */
final class Http implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    private final HttpServer server;

    /** Answers a call; null leaves it without an answer. */
    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    record Call(String method, String path, Map<String, String> query, JsonNode body, HttpExchange exchange) {
        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }
    }

    record Reply(int status, JsonNode body) {
        static Reply of(int status) {
            return new Reply(status, JSON.createObjectNode());
        }
    }

    private Http(HttpServer server) {
        this.server = server;
    }

    static Http listen(Handler handler) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            try {
                byte[] bytes = exchange.getRequestBody().readAllBytes();
                JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
                Reply reply = handler.handle(new Call(
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().getPath(),
                        query(exchange.getRequestURI().getRawQuery()),
                        body,
                        exchange));
                if (reply == null) {
                    return;
                }
                byte[] out = JSON.writeValueAsBytes(reply.body());
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(reply.status(), out.length);
                exchange.getResponseBody().write(out);
                exchange.close();
            } catch (Exception e) {
                exchange.close();
            }
        });
        server.start();
        return new Http(server);
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    int port() {
        return server.getAddress().getPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
