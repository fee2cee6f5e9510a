package third;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** JSON over HTTP/1.1 on loopback. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Handles a call; the body is an empty object when there is none. */
    interface Handler {
        void handle(HttpExchange exchange, JsonNode body) throws Exception;
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Listens on a port, 0 for any free one, with a thread for each call. */
    static HttpServer listen(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1000);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            try {
                byte[] bytes = exchange.getRequestBody().readAllBytes();
                handler.handle(exchange, bytes.length == 0 ? object() : MAPPER.readTree(bytes));
            } catch (IOException | UncheckedIOException e) {
                // The caller has closed the connection.
                exchange.close();
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static void respond(HttpExchange exchange, int status, JsonNode body) {
        try {
            byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            try (OutputStream output = exchange.getResponseBody()) {
                output.write(bytes);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        for (String part : query == null ? new String[0] : query.split("&")) {
            int equals = part.indexOf('=');
            values.put(
                    part.substring(0, equals),
                    java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
