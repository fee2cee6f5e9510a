package third;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: the store, minions, and entry hosts that are started as the deploy file says. */
final class Site implements AutoCloseable {
    static final String HOST = "jobs.example";
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(25);

    final Record record;
    final Store store = new Store();
    final List<Minion> minions = new CopyOnWriteArrayList<>();
    private final Path folder;
    final Cloud cloud;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final List<Node> nodes = new ArrayList<>();
    private int advicePort;

    /** An entry host. */
    static final class Node {
        final String name;
        final Store.Port storePort;
        private final String frontend;
        private final String readiness;
        private final Process process;

        private Node(
                String name,
                Store.Port storePort,
                String frontend,
                String readiness,
                Process process) {
            this.name = name;
            this.storePort = storePort;
            this.frontend = frontend;
            this.readiness = readiness;
            this.process = process;
        }
    }

    /** Answer to a consumer; status 0 when there was none. */
    record Answer(int status, String body) {}

    Site(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-third-");
        this.cloud = new Cloud(record, this::startMinion);
    }

    void setAdvicePort(int port) {
        advicePort = port;
    }

    Minion addMinion(Minion minion) throws IOException {
        startMinion(minion);
        cloud.add("m-" + minion.id(), minion);
        return minion;
    }

    private void startMinion(Minion minion) {
        minions.add(minion);
        try {
            minion.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a configuration as the operator does. */
    void configure(int version, String routes, String tenants) {
        String config = "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"work\","
                + "\"rejectsOverload\":true},{\"name\":\"spare\",\"rejectsOverload\":true,\"standby\":true}],"
                + "\"tenants\":[" + tenants
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144}}";
        store.put("op/config", config);
        record.add("operator", "config " + config);
    }

    static String route(String name, String prefix, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"aimMs\":600,\"priority\":0,\"service\":\"work\","
                + "\"maxAttempts\":3,\"stretchFactor\":1.6,\"anonymous\":false" + more + "}";
    }

    static String tenant(String name, String... keys) {
        return tenant(name, 0, keys);
    }

    /** Returns a tenant with a limit of the processors that it may use, in thousandths of a core; 0 for none. */
    static String tenant(String name, long cpu, String... keys) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":["
                + String.join(",", Arrays.stream(keys).map(key -> "\"" + key + "\"").toList())
                + "],\"weight\":100,\"cap\":{\"cpu\":" + cpu + ",\"memMb\":0,\"gpu\":0}}";
    }

    /** Returns a free port, below those that the system gives to outgoing connections, after which another is free. */
    private static int freePair() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 31_000);
            try (ServerSocket first = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    ServerSocket second = new ServerSocket(port + 1, 1, InetAddress.getLoopbackAddress())) {
                return Math.min(first.getLocalPort(), second.getLocalPort());
            } catch (IOException e) {
                // A port is in use.
            }
        }
        throw new IOException("no two free ports in a row");
    }

    /** Starts an entry host with the command of the deploy file and waits until it is ready. */
    Node startNode(String name) throws IOException, InterruptedException {
        Store.Port storePort = store.openPort();
        int listen = freePair();
        String frontend = "127.0.0.1:" + listen;
        String readiness = "127.0.0.1:" + (listen + 1);
        int internal = freePair();
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("nodeName", name);
        settings.put("role", "entry");
        settings.put("machineClass", "front");
        settings.put("serves", "front");
        settings.put("ip", "127.0.0.1");
        settings.put("zone", "z1");
        settings.put("region", "r1");
        settings.put("zones.z1", "r1");
        settings.put("listen.frontend", frontend);
        settings.put("listen.readiness", readiness);
        settings.put("internalPorts", internal + "," + (internal + 1));
        settings.put("bootstrap", "true");
        settings.put("limits.cpuShare", "0.75");
        settings.put("limits.cores", "1");
        settings.put("limits.memoryMb", "430");
        settings.put("limits.maxFds", "4100");
        settings.put("discovery", "platform");
        settings.put("heartbeatMs", "1500");
        settings.put("contracts", "base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing");
        settings.put("bounds.contactMs", "3000");
        settings.put("bounds.ackMs", "4000");
        settings.put("bounds.drainMs", "2000");
        settings.put("bounds.graceS", "6");
        settings.put("bounds.configApplyMs", "2000");
        settings.put("bounds.revokeStrict", "true");
        settings.put("bounds.revokeMs", "5000");
        settings.put("bounds.holdMaxMs", "10000");
        settings.put("bounds.stopMs", "200");
        settings.put("bounds.cancel_ms", "3000");
        settings.put("bounds.visible_ms", "3000");
        settings.put("bounds.finish_s", "14");
        settings.put("bounds.status_s", "120");
        settings.put("bounds.remoteFactor", "1.5");
        settings.put("bounds.leaseMs", "3000");
        settings.put("orders", "call");
        if (advicePort != 0) {
            settings.put("advice", "127.0.0.1:" + advicePort);
        }
        settings.put("platform.address", "127.0.0.1:" + storePort.number());
        settings.put("platform.form", "kv");
        settings.put("platform.writesPerS", "400");
        settings.put("platform.readsPerS", "2000");
        settings.put("platform.historyS", "20");
        settings.put("platform.valueBytes", "1048576");
        settings.put("platform.ttlMinMs", "1000");
        settings.put("cloudApi.address", "127.0.0.1:" + cloud.port());
        settings.put("cloudApi.ratePerS", "64.0");
        settings.put("cloudApi.dutyPerS", "64.0");
        Path file = folder.resolve(name + ".conf");
        Files.write(
                file,
                settings.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + entry.getValue())
                        .toList());
        File log = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BASILSWITCH_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(log);
        Node node = new Node(name, storePort, frontend, readiness, builder.start());
        nodes.add(node);
        record.add(name, "started, log " + log.getName());
        awaitReady(node);
        return node;
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no command in the deploy file");
    }

    private void awaitReady(Node node) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            if (!node.process.isAlive()) {
                throw new IOException(node.name + " has ended by itself");
            }
            if (get("http://" + node.readiness + "/readyz") == 200) {
                record.add(node.name, "ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(node.name + " is not ready");
    }

    private int get(String uri) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(Duration.ofSeconds(2))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends a consumer's request on an open channel of its node, if there is one. */
    Answer send(Node node, String method, String path, String key, String body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.frontend + path))
                .timeout(Duration.ofMillis(3000))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Host", HOST)
                .header("Deadline-Ms", "3000")
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        record.add("consumer", "sends to " + node.name + " " + method + " " + path + " key " + key + " " + body);
        Answer answer;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, e.toString());
        }
        record.add("consumer", "answer of " + node.name + " to " + method + " " + path + ": " + answer.status + " " + answer.body);
        return answer;
    }

    /** Sends a request until it is accepted, as a consumer repeats it after a 503, a 504 or no response. */
    void submit(Node node, String path, String key, String body) throws InterruptedException, IOException {
        for (int i = 0; i < 10; i++) {
            if (send(node, "POST", path, key, body).status == 200) {
                return;
            }
            Thread.sleep(500);
        }
        throw new IOException("not accepted: " + path);
    }

    /** Returns how many work items run whose names begin so. */
    int running(String prefix) {
        return minions.stream().mapToInt(minion -> minion.running(prefix)).sum();
    }

    void awaitRunning(String prefix, int count, Duration timeout) throws InterruptedException, IOException {
        long endNanos = System.nanoTime() + timeout.toNanos();
        while (running(prefix) < count) {
            if (System.nanoTime() - endNanos > 0) {
                throw new IOException("only " + running(prefix) + " of " + count + " work items run of " + prefix);
            }
            Thread.sleep(20);
        }
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            node.process.destroyForcibly();
        }
        for (Node node : nodes) {
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            String keep = System.getenv("KEEP_LOGS");
            Path log = folder.resolve(node.name + ".log");
            if (keep != null) {
                Files.copy(log, Path.of(keep, node.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
