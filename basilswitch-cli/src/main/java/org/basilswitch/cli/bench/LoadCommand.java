package org.basilswitch.cli.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.bench.load.EntryTarget;
import org.basilswitch.bench.load.LoadGenerator;
import org.basilswitch.bench.load.LoadOptions;
import org.basilswitch.bench.load.LoadReport;
import org.basilswitch.bench.load.LoadResult;
import org.basilswitch.bench.load.LoadStream;
import org.basilswitch.bench.load.Outcome;
import org.basilswitch.bench.load.RatePattern;
import org.basilswitch.cli.LogSetup;
import org.basilswitch.cli.SettingsFiles;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.Team;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.standin.worker.ExecutionLog;
import org.basilswitch.standin.worker.ExecutionRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Sends load to running entry hosts and compares the callers' results with the execution record of the stand-in workers. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Sends load to running entry hosts of a site with stand-in workers and checks the result of each request.")
final class LoadCommand implements Callable<Integer> {
    private static final int MAX_OPEN_REQUESTS = 4000;
    private static final String OPEN_TEAM = "open";

    @Spec
    private CommandSpec spec;

    @Mixin
    private SettingsFiles files;

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "How long requests are sent, in seconds; default 30.")
    private int seconds;

    @Option(names = "--rate", defaultValue = "40", description = "Mean requests per second for each queue; default 40.")
    private double ratePerSecond;

    @Option(names = "--service-ms", defaultValue = "50", description = "Mean service time at a worker; default 50 ms.")
    private double serviceMs;

    @Option(names = "--deadline-ms", defaultValue = "5000", description = "Deadline of each request; default 5000 ms.")
    private long deadlineMs;

    @Option(
            names = "--retries",
            defaultValue = "0",
            description = "How often a caller retries with the same request id; default 0.")
    private int retries;

    @Option(
            names = "--key-prefix",
            required = true,
            description = "The secret of a team's key is this prefix and the team's name.")
    private String keyPrefix;

    @Option(
            names = "--record",
            description = "Address of a stand-in worker whose execution record is checked; may be repeated.")
    private List<String> records = new ArrayList<>();

    @Option(names = "--bursts", description = "Sends bursts: each queue in turn gets five times its mean rate for 3 s.")
    private boolean bursts;

    @Option(names = "--require-answers", description = "Fails unless each request is answered by a server.")
    private boolean requireAnswers;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of arrival and service times; default 1.")
    private long seed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        LogSetup.quiet();
        PrintWriter out = spec.commandLine().getOut();
        Optional<Settings> settings = files.load(spec.commandLine().getErr());
        if (settings.isEmpty()) {
            return ExitCode.SOFTWARE;
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        LoadGenerator generator =
                LoadGenerator.start(vertx, options(settings.get())).await();
        LoadResult result = generator.finished().await();
        List<ExecutionRecord> runs = new ArrayList<>();
        for (String address : records) {
            runs.addAll(read(address).runs());
        }
        vertx.close().await();
        boolean passed = LoadReport.of(result, runs, limits(settings.get())).print(out);
        if (requireAnswers) {
            passed &= allAnswered(result, out);
        }
        out.println(passed ? "passed" : "FAILED");
        out.flush();
        return passed ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static boolean allAnswered(LoadResult result, PrintWriter out) {
        long missing = result.results().stream()
                .filter(request -> !(request.outcome() instanceof Outcome.Answered))
                .count();
        out.println((missing == 0 ? "ok   " : "FAIL ") + "each request was answered: " + missing + " were not");
        return missing == 0;
    }

    private LoadOptions options(Settings settings) {
        List<EntryTarget> targets = settings.entryHosts().stream()
                .map(host -> new EntryTarget(
                        host.name(),
                        host.callerAddress().port(),
                        host.administrationAddress().port()))
                .toList();
        return new LoadOptions(
                streams(settings),
                targets,
                Duration.ofSeconds(seconds),
                MAX_OPEN_REQUESTS,
                retries,
                "load-" + System.currentTimeMillis(),
                seed);
    }

    private List<LoadStream> streams(Settings settings) {
        List<Team> teams = ofType(settings, Team.class);
        List<Queue> queues = ofType(settings, Queue.class);
        double weights = teams.stream().mapToInt(Team::shareWeight).sum();
        List<LoadStream> streams = new ArrayList<>();
        for (int turn = 0; turn < queues.size(); turn++) {
            Queue queue = queues.get(turn);
            RatePattern pattern = bursts
                    ? new RatePattern.Alternating(turn, queues.size(), Duration.ofSeconds(3))
                    : new RatePattern.Steady();
            if (queue.openToAll()) {
                streams.add(stream(OPEN_TEAM, Optional.empty(), queue, ratePerSecond, pattern));
                continue;
            }
            for (Team team : teams) {
                Optional<String> key = Optional.of(keyPrefix + team.name());
                double rate = ratePerSecond * team.shareWeight() / weights;
                streams.add(stream(team.name(), key, queue, rate, pattern));
            }
        }
        return streams;
    }

    private LoadStream stream(String team, Optional<String> key, Queue queue, double rate, RatePattern pattern) {
        return new LoadStream(
                team, key, queue.name(), queue.idempotent(), rate, serviceMs, Duration.ofMillis(deadlineMs), pattern);
    }

    private static <T extends ConfigurationRecord> List<T> ofType(Settings settings, Class<T> type) {
        return settings.records().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private static Map<String, Integer> limits(Settings settings) {
        Map<String, Integer> limits = new TreeMap<>();
        ofType(settings, Team.class).forEach(team -> limits.put(team.name(), team.limitTasks()));
        return limits;
    }

    /**
     * Reads the execution record of a worker, without an upgrade to HTTP/2: the JDK's client may take the body of an
     * upgraded response for frames.
     */
    static ExecutionLog.Snapshot read(String address) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/control/record"))
                .build();
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        byte[] body =
                client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
        return RecordCodec.decode(body, ExecutionLog.Snapshot.class)
                .orElseThrow(() -> new IOException("no execution record at " + address));
    }
}
