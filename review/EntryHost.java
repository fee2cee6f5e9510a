package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One entry host: a process with the command of the deploy file, and a client for its callers' address. */
final class EntryHost implements AutoCloseable {
    final String name;
    final Store.Access access;
    private final String ip;
    private final Map<String, String> settings = new LinkedHashMap<>();
    private final Path folder;
    private final Record record;
    private Process process;

    /** Answer to a call; the status is 0 when there was none. */
    record Answer(int status, String body) {}

    EntryHost(String name, String ip, Path folder, Record record, Store.Access access, Map<String, String> more)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.folder = folder;
        this.record = record;
        this.access = access;
        settings.put("nodeName", name);
        settings.put("role", "entry");
        settings.put("machineClass", "front");
        settings.put("serves", "front");
        settings.put("ip", ip);
        settings.put("zone", "zone-a");
        settings.put("region", "region-a");
        settings.put("zones.zone-a", "region-a");
        settings.put("listen.frontend", ip + ":" + freePort(ip, 1));
        settings.put("listen.readiness", ip + ":" + freePort(ip, 1));
        int internal = freePort(ip, 2);
        settings.put("internalPorts", internal + "," + (internal + 1));
        settings.put("bootstrap", "true");
        settings.put("limits.cpuShare", "0.75");
        settings.put("limits.cores", "1");
        settings.put("limits.memoryMb", "430");
        settings.put("limits.maxFds", "4100");
        settings.put("discovery", "platform");
        settings.put("entry", "vip");
        settings.put("heartbeatMs", "1500");
        settings.put("contracts", "base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing");
        // The bounds of the small deployment fraser-basil.
        String bounds = "seedLagS=3 reuseAfterS=2 contactMs=3000 ackMs=4000 catchUpS=4 drainMs=2000 graceS=6"
                + " lossSlackMs=200 configApplyMs=2000 rollbackSlackMs=250 maxExtensionMs=5000 revokeStrict=true"
                + " revokeMs=5000 quotaWindowS=5 quotaExcess=0.1 quotaSlack=20 recoveryS=12 holdMaxMs=10000"
                + " stopMs=200 gangMs=3000 cancel_ms=3000 visible_ms=3000 early_ms=250 finish_s=14 status_s=120"
                + " remoteFactor=1.5 checkpointS=2 restoreMs=600 noticeMs=4500 moveS=1.5 upkeepS=2"
                + " fencingEnforced=false leaseMs=3000 thawMs=300 paceMs=100 impactMs=4000";
        for (String bound : bounds.split(" ")) {
            settings.put("bounds." + bound.substring(0, bound.indexOf('=')), bound.substring(bound.indexOf('=') + 1));
        }
        settings.put("orders", "call");
        settings.put("platform.address", access.http.address());
        settings.put("platform.form", "kv");
        settings.put("platform.writesPerS", "400");
        settings.put("platform.readsPerS", "2000");
        settings.put("platform.historyS", "20");
        settings.put("platform.valueBytes", "1048576");
        settings.put("platform.ttlMinMs", "1000");
        settings.putAll(more);
    }

    private static int freePort(String ip, int count) throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket()) {
                first.bind(new InetSocketAddress(ip, 0));
                int port = first.getLocalPort();
                if (count == 1) {
                    return port;
                }
                try (ServerSocket second = new ServerSocket()) {
                    second.bind(new InetSocketAddress(ip, port + 1));
                    return port;
                } catch (IOException | IllegalArgumentException e) {
                    continue;
                }
            }
        }
    }

    void start() throws IOException {
        Path file = folder.resolve(name + ".conf");
        StringBuilder text = new StringBuilder();
        settings.forEach((key, value) -> text.append(key).append('=').append(value).append('\n'));
        Files.writeString(file, text);
        ProcessBuilder builder = new ProcessBuilder(
                "target/runtime/bin/java", "@target/java.options", "org.basilswitch.platform.PlatformMain");
        builder.environment().keySet().retainAll(java.util.Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BASILSWITCH_SETTINGS", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".out").toFile()));
        process = builder.start();
        record.line("entry host " + name + " started, pid " + process.pid());
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        record.line("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isReady() {
        return exchange(settings.get("listen.readiness"), "GET", "/readyz", "platform", "", "", 500)
                        .map(Answer::status)
                        .orElse(0)
                == 200;
    }

    /** Sends a consumer's call and records it with its answer. */
    Answer call(String method, String path, String host, String key, String body, int deadlineMs) {
        record.line("client -> " + name + ": " + method + " " + path + " key=" + key
                + (body.isEmpty() ? "" : " " + body));
        Answer answer = exchange(settings.get("listen.frontend"), method, path, host, key, body, deadlineMs)
                .orElse(new Answer(0, ""));
        record.line("client <- " + name + ": " + method + " " + path + " status="
                + (answer.status() == 0 ? "none" : answer.status()) + " " + answer.body());
        return answer;
    }

    private static Optional<Answer> exchange(
            String address, String method, String path, String host, String key, String body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(timeoutMs);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                    + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
                    + "Deadline-Ms: " + timeoutMs + "\r\n"
                    + (bytes.length == 0 ? "" : "Content-Type: application/json\r\n")
                    + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            ByteArrayOutputStream in = new ByteArrayOutputStream();
            InputStream stream = socket.getInputStream();
            stream.transferTo(in);
            String text = in.toString(StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            return end < 0
                    ? Optional.empty()
                    : Optional.of(new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4)));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }
}
