package second;

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

/** JSON over HTTP for the stand-ins. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Handles a request and answers it, or leaves it without an answer. */
    interface Handler {
        void handle(HttpExchange exchange, JsonNode body) throws Exception;
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Starts a server on a free loopback port, with a virtual thread for each request. */
    static HttpServer listen(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            try {
                handler.handle(exchange, bytes.length == 0 ? object() : MAPPER.readTree(bytes));
            } catch (IOException e) {
                exchange.close();
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
