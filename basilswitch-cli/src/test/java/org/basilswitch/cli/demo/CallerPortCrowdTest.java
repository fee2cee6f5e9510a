package org.basilswitch.cli.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.basilswitch.standin.caller.CallerCrowd;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** An entry host process of the daemon with little memory, and crowds of callers that keep no limits. */
final class CallerPortCrowdTest {
    private static final int HEAP_MB = 64;
    /** Memory of the smallest entry host, 330 MB with a heap of 160 MB, less the part of the heap that is left out here. */
    private static final int MAX_MEMORY_MB = 330 - 160 + HEAP_MB;

    private static final int MAX_FDS = 4100;
    private static final int CONNECTIONS = 400;
    private static final int PIPELINING_CONNECTIONS = 200;
    private static final int SMALL_CHUNKS = 40_000;
    private static final int PIPELINED_REQUESTS = 4000;
    /** As many as the decoder takes in one header. */
    private static final int SHORT_FIELDS = 3900;

    /** The queues' limit in the shipped settings. */
    private static final int MAX_BODY_BYTES = 1_048_576;

    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final int ATTEMPTS = 3;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(ANSWER_TIMEOUT).build();
    private DemoSite site;
    private DemoFleet standIns;

    /** New stand-ins for each process: the membership of a site does not forget one that was killed. */
    @BeforeMethod
    public void startStandIns() throws IOException {
        site = DemoSite.load("fraser-fathom");
        standIns = DemoFleet.start(site, 0);
    }

    @AfterMethod
    public void stopStandIns() {
        standIns.close();
    }

    /** A process of one entry host. */
    private final class EntryHostProcess implements AutoCloseable {
        private final Process process;
        private final String callerAddress = "127.0.0.1:" + freePort();
        private final String administrationAddress = "127.0.0.1:" + freePort();

        private EntryHostProcess() throws IOException {
            Path folder = Files.createTempDirectory("caller-crowd-");
            Path overlay = folder.resolve("overlay.json");
            Files.writeString(
                    overlay, """
                    {
                      "store": { "endpoints": ["127.0.0.1:%d"] },
                      "entryHosts": {
                        "entry-1": {
                          "callerAddress": "%s", "administrationAddress": "%s", "peerAddress": "127.0.0.1:%d"
                        }
                      }
                    }
                    """.formatted(standIns.store().port(), callerAddress, administrationAddress, freePort()));
            process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx" + HEAP_MB + "m",
                            "-Xss512k",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "org.basilswitch.cli.Main",
                            "serve",
                            "--settings",
                            "../sites/base.json",
                            "--overlay",
                            "../sites/fraser-fathom.json",
                            "--overlay",
                            overlay.toString(),
                            "--node",
                            "entry-1")
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("entry-1.log").toFile())
                    .start();
        }

        private static int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0)) {
                return socket.getLocalPort();
            }
        }

        private void awaitReady() throws InterruptedException {
            HttpRequest probe = HttpRequest.newBuilder(URI.create("http://" + administrationAddress + "/readyz"))
                    .timeout(ANSWER_TIMEOUT)
                    .build();
            long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
            while (System.nanoTime() < deadlineNanos) {
                if (status(probe) == 200) {
                    return;
                }
                Thread.sleep(50);
            }
            throw new IllegalStateException("the entry host is not ready after " + READY_TIMEOUT);
        }

        private OptionalLong peakMemoryMb() {
            try (Stream<String> lines = Files.lines(folder().resolve("status"))) {
                return lines.filter(line -> line.startsWith("VmHWM:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024)
                        .findFirst();
            } catch (IOException | UncheckedIOException e) {
                return OptionalLong.empty();
            }
        }

        private long descriptors() throws IOException {
            try (Stream<Path> fds = Files.list(folder().resolve("fd"))) {
                return fds.count();
            }
        }

        private Path folder() {
            return Path.of("/proc", Long.toString(process.pid()));
        }

        @Override
        public void close() {
            process.destroyForcibly().onExit().join();
        }
    }

    /** Returns the status of the answer; 0 without an answer. */
    private int status(HttpRequest request) throws InterruptedException {
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private String queue() {
        return site.queues().get(0).name();
    }

    private String apiKey() {
        return DemoSite.secret(site.teams().get(0));
    }

    private String path() {
        return "/v1/queues/" + queue() + "/requests";
    }

    /** Sends an ordinary request as callers do, who repeat it when it was refused or not answered. */
    private int requestWithRetries(EntryHostProcess host) throws InterruptedException {
        int status = 0;
        for (int i = 0; i < ATTEMPTS && status != 200; i++) {
            Thread.sleep(Duration.ofSeconds(i));
            status = status(HttpRequest.newBuilder(URI.create("http://" + host.callerAddress + path()))
                    .timeout(ANSWER_TIMEOUT)
                    .header("Authorization", "Bearer " + apiKey())
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build());
        }
        return status;
    }

    /** Guards against a refusal of the largest legal body while there is no crowd. */
    @Test
    public void largeBodyIsServedInCalm() throws Exception {
        try (EntryHostProcess host = new EntryHostProcess()) {
            host.awaitReady();
            int status = status(HttpRequest.newBuilder(URI.create("http://" + host.callerAddress + path()))
                    .timeout(ANSWER_TIMEOUT)
                    .header("Authorization", "Bearer " + apiKey())
                    .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[MAX_BODY_BYTES]))
                    .build());
            assertEquals(status, 200);
        }
    }

    @DataProvider(name = "crowds")
    public static Object[][] crowds() {
        List<Object[]> crowds = new ArrayList<>();
        for (CallerCrowd.Kind kind : CallerCrowd.Kind.values()) {
            crowds.add(
                    switch (kind) {
                        case LARGE_BODY, LARGE_BODY_IN_PIECES, LARGE_CHUNK, CHUNK_EXTENSION ->
                            new Object[] {kind, CONNECTIONS, 1};
                        case SMALL_CHUNKS -> new Object[] {kind, CONNECTIONS, SMALL_CHUNKS};
                        case REQUESTS_AHEAD, ROUTED_REQUESTS_AHEAD ->
                            new Object[] {kind, PIPELINING_CONNECTIONS, PIPELINED_REQUESTS};
                        case TRAILERS, HEADER_BEHIND_REQUEST -> new Object[] {kind, CONNECTIONS, SHORT_FIELDS};
                    });
        }
        return crowds.toArray(Object[][]::new);
    }

    /** Load: callers of each kind, most of whom stop short and stay connected. */
    @Test(dataProvider = "crowds")
    public void processOutlivesCrowd(CallerCrowd.Kind kind, int connections, int count) throws Exception {
        try (EntryHostProcess host = new EntryHostProcess()) {
            host.awaitReady();
            int status;
            long descriptors;
            CallerCrowd.Target target = new CallerCrowd.Target(host.callerAddress, path(), apiKey(), "{}");
            try (CallerCrowd crowd = CallerCrowd.start(target, connections, kind, count)) {
                crowd.awaitSent(SEND_TIMEOUT);
                status = requestWithRetries(host);
                descriptors = host.process.isAlive() ? host.descriptors() : 0;
            }
            boolean alive = host.process.isAlive();
            OptionalLong peakMb = host.peakMemoryMb();
            String seen = "alive " + alive + ", peak resident memory " + peakMb + " in MB, descriptors " + descriptors
                    + ", status of the ordinary request " + status;
            System.out.println(kind + " at the caller port: " + seen);
            assertTrue(alive, seen);
            assertTrue(peakMb.orElse(Long.MAX_VALUE) < MAX_MEMORY_MB, seen);
            assertTrue(descriptors < MAX_FDS, seen);
            assertEquals(status, 200, seen);
        }
    }
}
