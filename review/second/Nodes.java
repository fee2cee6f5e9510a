package second;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
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
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Entry hosts, started as separate processes with the command of the deploy file. */
final class Nodes implements AutoCloseable {
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 30_000;

    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final List<Integer> frontendPorts = new ArrayList<>();
    private final List<Integer> readinessPorts = new ArrayList<>();
    private final List<Integer> internalPorts = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    Nodes(Path folder) {
        this.folder = folder;
    }

    /** Starts an entry host; the ports are those under which it reaches the platform. */
    void start(int storePort, int cloudPort) throws IOException {
        int index = processes.size();
        int[] ports = freePorts();
        String settings = String.join(
                "\n",
                "nodeName=front-" + index,
                "role=entry",
                "machineClass=front",
                "serves=front",
                "ip=127.0.0.1",
                "zone=z" + index % 2,
                "region=r",
                "listen.frontend=127.0.0.1:" + ports[0],
                "listen.readiness=127.0.0.1:" + ports[1],
                "listen.control=127.0.0.1:" + ports[1],
                "internalPorts=" + ports[2] + "," + (ports[2] + 1),
                "bootstrap=true",
                "limits.cpuShare=0.75",
                "limits.cores=1",
                "limits.memoryMb=430",
                "limits.maxFds=4100",
                "heartbeatMs=1500",
                "bounds.holdMaxMs=10000",
                "bounds.revokeMs=5000",
                "bounds.graceS=6",
                "bounds.leaseMs=3000",
                "bounds.status_s=120",
                "bounds.fencingEnforced=false",
                "orders=call",
                "platform.address=127.0.0.1:" + storePort,
                "platform.form=kv",
                "cloudApi.address=127.0.0.1:" + cloudPort,
                "");
        Path file = folder.resolve("node-" + index + ".conf");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(
                "target/runtime/bin/java", "@target/java.options", "org.basilswitch.platform.PlatformMain");
        builder.environment().put("BASILSWITCH_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(new File(folder.toFile(), "node-" + index + ".out"));
        processes.add(builder.start());
        frontendPorts.add(ports[0]);
        readinessPorts.add(ports[1]);
        internalPorts.add(ports[2]);
    }

    /** Returns four ports in a row that are free, below those that the system gives to outgoing connections. */
    private static int[] freePorts() throws IOException {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket a = open(first);
                    ServerSocket b = open(first + 1);
                    ServerSocket c = open(first + 2);
                    ServerSocket d = open(first + 3)) {
                return new int[] {first, first + 1, first + 2};
            } catch (BindException e) {
                // One of them is in use.
            }
        }
    }

    private static ServerSocket open(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
    }

    int count() {
        return processes.size();
    }

    /** Returns the entry host whose internal address is given; -1 when there is none. */
    int indexOf(String internalAddress) {
        for (int i = 0; i < count(); i++) {
            if (internalAddress.equals("127.0.0.1:" + internalPorts.get(i))) {
                return i;
            }
        }
        return -1;
    }

    /** Waits until all entry hosts are ready; returns whether they are. */
    boolean awaitReady(Duration timeout) throws InterruptedException {
        long untilNanos = System.nanoTime() + timeout.toNanos();
        for (int i = 0; i < count(); ) {
            if (call("GET", "http://127.0.0.1:" + readinessPorts.get(i) + "/readyz", "") == 200) {
                i++;
            } else if (System.nanoTime() > untilNanos) {
                return false;
            } else {
                Thread.sleep(50);
            }
        }
        return true;
    }

    /** Sends a consumer's call; returns the status, 0 without an answer. */
    int call(int node, String method, String path, String body) throws InterruptedException {
        return call(method, "http://127.0.0.1:" + frontendPorts.get(node) + path, body);
    }

    private int call(String method, String uri, String body) throws InterruptedException {
        try {
            return client.send(
                            HttpRequest.newBuilder(URI.create(uri))
                                    .timeout(Duration.ofSeconds(3))
                                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Submits a job as a consumer does: the same identifier again at another host after no final answer. */
    int submit(String path, String body, int firstNode) throws InterruptedException {
        int status = 0;
        for (int attempt = 0; attempt < 5; attempt++) {
            status = call((firstNode + attempt) % count(), "POST", path, body);
            if (status != 0 && status != 502 && status != 503 && status != 504 && status != 429) {
                return status;
            }
            Thread.sleep(200);
        }
        return status;
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
