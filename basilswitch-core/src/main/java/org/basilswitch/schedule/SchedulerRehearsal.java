package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.evacuation.EvacuationFollower;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.basilswitch.time.UnsteppedWallClock;

/**
 * Runs a scheduler on a simulated fleet inside the process, so that the virtual machine has compiled its code before this
 * host becomes the leader. A leader that starts with interpreted code falls behind its load for seconds.
 *
 * <p>Has no effect outside the process.
 */
public final class SchedulerRehearsal {
    private static final int SERVERS_PER_POOL = 24;
    private static final int STANDBY_HOSTS = 12;
    private static final int ITEMS_PER_STEP = 8;
    private static final long ITEM_MS = 300;
    /** Interval between two jobs; the load of a leader at a peak of a few hundred servers. */
    private static final Duration JOB_INTERVAL = Duration.ofMillis(25);
    /** Simulated time of the whole rehearsal. */
    private static final Duration LENGTH = Duration.ofSeconds(8);

    private static final Resources CAPACITY = new Resources(64_000, 262_144, 0);
    private static final List<String> POOLS = List.of("pool-a", "pool-b");
    private static final String STANDBY = "standby";

    private final SimulatedTime time = SimulatedTime.create();
    private final Map<String, SimulatedServer> servers = new HashMap<>();
    private final List<HostControl.PlatformHost> hosts = new ArrayList<>();
    private final StoreKeys keys = new StoreKeys("rehearsal");
    private final MemoryStore store;
    private final JobScheduler scheduler;
    private int jobs;
    private int completedRuns;

    private SchedulerRehearsal() {
        for (int i = 0; i < SERVERS_PER_POOL * POOLS.size() + STANDBY_HOSTS; i++) {
            addHost(i);
        }
        store = MemoryStore.create(time, time);
        store.commit(Transaction.builder()
                .put(keys.schedulerLeadership(), RecordCodec.encode("self"))
                .build());
        scheduler = JobScheduler.takeOver(context(), store.revision(), margin -> true, reason -> {});
        submitNext();
    }

    private SchedulerContext context() {
        JobConfiguration configuration = configuration();
        Telemetry telemetry = Telemetry.none();
        return new SchedulerContext(
                time,
                time,
                UnsteppedWallClock.of(time),
                time,
                MemoryStoreClient.create(store, time, RandomSource.SPLIT_MIX_64.create(1)),
                keys,
                new SimulatedCommands(),
                (step, ids, timeLimit) -> CompletableFuture.completedFuture(new AdviceService.NoAnswer()),
                () -> new JobConfigurationSnapshot(configuration, 1, time.monotonicNanos()),
                LiveServers.create(time, time, this::readServers, telemetry),
                EvacuationFollower.create(time, time, telemetry, Optional.empty()),
                new SimulatedHosts(),
                new NoWaves(),
                telemetry,
                SchedulerOptions.withMaxLease(Duration.ofSeconds(6), Duration.ofSeconds(3), Duration.ofSeconds(5)));
    }

    /** Creates a rehearsal at its beginning. */
    public static SchedulerRehearsal create() {
        return new SchedulerRehearsal();
    }

    /**
     * Runs the rehearsal for a while.
     *
     * @param simulated simulated time to run
     * @return whether the rehearsal goes on
     */
    public boolean runFor(Duration simulated) {
        time.runFor(simulated);
        if (time.monotonicNanos() < LENGTH.toNanos()) {
            return true;
        }
        scheduler.close();
        return false;
    }

    /** Returns the number of simulated runs that have completed. */
    public int completedRuns() {
        return completedRuns;
    }

    private void addHost(int number) {
        boolean standby = number >= SERVERS_PER_POOL * POOLS.size();
        String pool = standby ? STANDBY : POOLS.get(number % POOLS.size());
        String id = "server-" + number;
        List<String> labels = List.of("kind", "rack-" + number / 4);
        hosts.add(new HostControl.PlatformHost(
                "host-" + number,
                pool,
                HostControl.PlatformHostState.UP,
                "zone",
                labels,
                CAPACITY,
                standby ? Optional.empty() : Optional.of(id)));
        if (!standby) {
            servers.put(
                    id,
                    new SimulatedServer(
                            new BackendServer(id, 1, pool, "address:" + number, "zone", false, 0, CAPACITY, labels)));
        }
    }

    private static JobConfiguration configuration() {
        List<JobPool> pools = new ArrayList<>();
        List<JobQueue> queues = new ArrayList<>();
        for (String pool : POOLS) {
            pools.add(new JobPool(pool, true, false));
            queues.add(new JobQueue(pool, "host", "/" + pool + "/", pool, 3000, 600, 0, 3, 1.6, false, null));
        }
        pools.add(new JobPool(STANDBY, true, true));
        JobTeam team = new JobTeam("team", Set.of("key"), 1, new Resources(0, 0, 0));
        return JobConfiguration.of(1, queues, List.of(team), pools, 16_384, 262_144);
    }

    private void submitNext() {
        String queue = POOLS.get(jobs % POOLS.size());
        StepSpec first = step(List.of());
        StepSpec second = step(List.of(0));
        String id = String.format("%016x", ++jobs);
        JobSubmission submission =
                new JobSubmission(id, queue, "team", "spec", List.of(first, second), null, time.millis());
        // Records are read back once, as after a takeover.
        byte[] record = RecordCodec.encode(submission);
        store.commit(Transaction.builder().put(keys.jobAccepted(id), record).build());
        RecordCodec.decode(record, JobSubmission.class).ifPresent(job -> scheduler.addJob(job, store.revision()));
        time.schedule(JOB_INTERVAL, this::submitNext);
    }

    private static StepSpec step(List<Integer> after) {
        return StepSpec.of(ITEMS_PER_STEP, new Resources(9000, 4096, 0), ITEM_MS, after);
    }

    private CompletionStage<Either<StoreError, List<BackendServer>>> readServers() {
        return CompletableFuture.completedFuture(Either.right(
                servers.values().stream().map(server -> server.entry).toList()));
    }

    /** A server whose runs complete after a fixed time. */
    private final class SimulatedServer {
        private final BackendServer entry;
        private final Map<ItemId, Integer> running = new HashMap<>();
        private final List<ServerCommands.RunEnd> ended = new ArrayList<>();
        private long lastEnd;

        private SimulatedServer(BackendServer entry) {
            this.entry = entry;
        }

        private void start(ServerCommands.StartCommand command) {
            running.put(command.item(), command.run());
            time.schedule(Duration.ofMillis(ITEM_MS), () -> {
                running.remove(command.item());
                completedRuns++;
                ended.add(new ServerCommands.RunEnd(
                        ++lastEnd, command.item(), command.run(), ServerCommands.RunEndKind.DONE, ""));
            });
        }

        private ServerCommands.Report report(long acknowledged) {
            ended.removeIf(end -> end.number() <= acknowledged);
            List<ServerCommands.RunStatus> statuses = new ArrayList<>();
            running.forEach(
                    (item, run) -> statuses.add(new ServerCommands.RunStatus(item, run, "checkpoint", 50, 9000)));
            return new ServerCommands.Report(entry.startedAtMs(), time.millis(), statuses, List.copyOf(ended), true);
        }
    }

    private final class SimulatedCommands implements ServerCommands {
        @Override
        public CompletionStage<CommandResult> start(BackendServer server, long fencingToken, StartCommand command) {
            servers.get(server.id()).start(command);
            return CompletableFuture.completedFuture(new Done());
        }

        @Override
        public CompletionStage<CommandResult> stop(BackendServer server, long fencingToken, ItemId item, int run) {
            return CompletableFuture.completedFuture(new Done());
        }

        @Override
        public CompletionStage<CommandResult> setPace(
                BackendServer server, long fencingToken, ItemId item, int run, int percent) {
            return CompletableFuture.completedFuture(new Done());
        }

        @Override
        public CompletionStage<RenewalResult> renewLease(
                BackendServer server, long fencingToken, LeaseRenewal renewal) {
            CompletableFuture<RenewalResult> answer = new CompletableFuture<>();
            Duration wait = renewal.maxWait().dividedBy(4);
            time.schedule(
                    wait, () -> answer.complete(servers.get(server.id()).report(renewal.acknowledgedEndNumber())));
            return answer;
        }
    }

    private final class SimulatedHosts implements HostControl {
        @Override
        public CompletionStage<Optional<List<PlatformHost>>> listHosts() {
            return CompletableFuture.completedFuture(Optional.of(List.copyOf(hosts)));
        }

        @Override
        public CompletionStage<HostCommandResult> move(String host, String pool, long fencingToken) {
            return CompletableFuture.completedFuture(HostCommandResult.BUSY);
        }

        @Override
        public CompletionStage<HostCommandResult> maintain(String host, long wave, long fencingToken) {
            return CompletableFuture.completedFuture(HostCommandResult.BUSY);
        }
    }

    private static final class NoWaves implements WaveStore {
        @Override
        public CompletionStage<Either<StoreError, List<WaveRequest>>> readWaves() {
            return CompletableFuture.completedFuture(Either.right(List.of()));
        }

        @Override
        public Transaction.Builder writeState(Transaction.Builder transaction, WaveRequest wave, boolean completed) {
            return transaction;
        }
    }
}
