package org.basilswitch.daemon.admin;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.administration.AdministrationLimits;
import org.basilswitch.administration.OperatorRole;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.StoreFactory;
import org.basilswitch.daemon.peer.FrameCodec;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;

/** An entry host with the administration interface on loopback and an in-memory store. */
final class AdministrationFixture implements AutoCloseable {
    static final String ADMINISTRATOR = "administrator-secret";
    static final String VIEWER = "viewer-secret";
    static final int BODY_LIMIT_BYTES = 4_096;

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private final EntryHostServer server;

    /** A response with its body as JSON; the body is JSON null if the response has none. */
    record Response(int status, JsonNode body, Optional<String> etag) {
        long revision() {
            return body.path("revision").longValue();
        }
    }

    private AdministrationFixture() {
        StoreFactory stores = (unused, clock, scheduler, events) -> MemoryStoreClient.create(
                MemoryStore.create(clock, scheduler), scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        server = EntryHostServer.start(
                        vertx,
                        DaemonOptions.loopback("test", "entry-1", "z1"),
                        new EntryHostServer.Dependencies(
                                stores, new EmptyCodec(), AdministrationInterface.create(options())))
                .await();
        awaitReady();
    }

    static AdministrationFixture start() {
        return new AdministrationFixture();
    }

    static AdministrationOptions options() {
        return new AdministrationOptions(
                List.of(
                        new Settings.OperatorSettings("ada", sha256(ADMINISTRATOR), OperatorRole.ADMINISTRATOR),
                        new Settings.OperatorSettings("vic", sha256(VIEWER), OperatorRole.VIEWER)),
                new Settings.AdministrationSettings(AdministrationLimits.defaults(), Duration.ofSeconds(5)),
                BODY_LIMIT_BYTES);
    }

    static String sha256(String secret) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitReady() {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (send(request("/readyz", "")).status() != 200) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not ready");
            }
            try {
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    HttpRequest.Builder request(String path, String key) {
        String encoded = URLEncoder.encode(path, StandardCharsets.UTF_8)
                .replace("%2F", "/")
                .replace("%3F", "?")
                .replace("%3D", "=")
                .replace("%26", "&");
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.administrationPort() + encoded))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key);
    }

    Response send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            String type = answer.headers().firstValue("Content-Type").orElse("");
            JsonNode body = type.contains("json") ? mapper.readTree(answer.body()) : mapper.nullNode();
            return new Response(answer.statusCode(), body, answer.headers().firstValue("ETag"));
        } catch (IOException | InterruptedException e) {
            throw new AssertionError("no answer", e);
        }
    }

    Response get(String path) {
        return send(request("/admin/v1/" + path, ADMINISTRATOR));
    }

    /** Sends a change; revision 0 creates the record. */
    Response change(String method, String path, String operationId, long revision, String body) {
        HttpRequest.Builder request = request("/admin/v1/" + path, ADMINISTRATOR)
                .header(ChangeHeaders.OPERATION_ID, operationId)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        return send(
                revision == 0
                        ? request.header("If-None-Match", "*")
                        : request.header("If-Match", "\"" + revision + "\""));
    }

    @Override
    public void close() {
        server.close();
        vertx.close().await();
    }

    /** A codec for a single entry host, which has no peers to exchange messages with. */
    private static final class EmptyCodec implements FrameCodec {
        @Override
        public byte[] encode(PeerMessage message) {
            return new byte[] {0};
        }

        @Override
        public Either<String, Optional<PeerMessage>> decode(byte[] frame) {
            return Either.left("not a message");
        }
    }
}
