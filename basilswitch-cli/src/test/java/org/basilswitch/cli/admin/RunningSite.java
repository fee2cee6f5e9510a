package org.basilswitch.cli.admin;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.administration.AdministrationLimits;
import org.basilswitch.administration.OperatorRole;
import org.basilswitch.cli.Main;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.StoreFactory;
import org.basilswitch.daemon.admin.AdministrationInterface;
import org.basilswitch.daemon.admin.AdministrationOptions;
import org.basilswitch.daemon.peer.FrameCodec;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import picocli.CommandLine;

/** An entry host on loopback with an empty in-memory store, and the command line to administer it. */
final class RunningSite implements AutoCloseable {
    private static final String SECRET = "administrator-secret";
    private static final int BODY_LIMIT_BYTES = 1 << 20;

    private final Vertx vertx = Vertx.vertx();
    private final EntryHostServer server;

    /** Exit code and output of a command. */
    record CommandOutput(int code, String out, String errors) {}

    private RunningSite() {
        StoreFactory stores = (unused, clock, scheduler, telemetry) -> MemoryStoreClient.create(
                MemoryStore.create(clock, scheduler), scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        AdministrationOptions options = new AdministrationOptions(
                List.of(new Settings.OperatorSettings("ada", sha256(), OperatorRole.ADMINISTRATOR)),
                new Settings.AdministrationSettings(AdministrationLimits.defaults(), Duration.ofSeconds(5)),
                BODY_LIMIT_BYTES);
        server = EntryHostServer.start(
                        vertx,
                        DaemonOptions.loopback("fraser-fathom", "entry-1", "burnaby"),
                        new EntryHostServer.Dependencies(
                                stores, new EmptyCodec(), AdministrationInterface.create(options)))
                .await();
    }

    static RunningSite start() {
        return new RunningSite();
    }

    private static String sha256() {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(SECRET.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    String url() {
        return "http://127.0.0.1:" + server.administrationPort();
    }

    /** Runs a command with the URL of the entry host and the operator key. */
    CommandOutput run(String... arguments) {
        List<String> all = new ArrayList<>(Arrays.asList(arguments));
        all.addAll(1, List.of("--url", url(), "--operator-key", SECRET));
        return runOffline(all.toArray(String[]::new));
    }

    /** Runs a command with the given arguments only. */
    static CommandOutput runOffline(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandLine line = Main.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(errors));
        int code = line.execute(arguments);
        return new CommandOutput(code, out.toString(), errors.toString());
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
