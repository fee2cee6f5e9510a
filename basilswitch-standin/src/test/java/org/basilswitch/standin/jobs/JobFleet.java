package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.evacuation.EvacuationOptions;
import org.basilswitch.evacuation.EvacuationStore;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.intake.ForwardedAnswer;
import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.intake.JobNode;
import org.basilswitch.intake.SchedulerClient;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.ReturningJob;
import org.basilswitch.schedule.HostControl;
import org.basilswitch.schedule.SchedulerOptions;
import org.basilswitch.schedule.WaveStore;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;

/** Runs entry hosts, a store and backend servers in one process on a virtual clock. */
final class JobFleet {
    /** Last events that a failure message shows. */
    private static final int SHOWN_EVENTS = 40;

    /** Time within which a killed leader is replaced: its lease, the reading of the jobs and reports of the servers, ms. */
    private static final long TAKEOVER_MS = 5000;

    /** Time of a message between two entry hosts. */
    private static final String EVACUATION_PREFIX = "evacuate/";

    private static final Duration PEER_DELAY = Duration.ofMillis(1);

    static final String KEY = "key-of-team";
    static final String POOL = "pool";
    static final Resources SERVER_CAPACITY = new Resources(64_000, 262_144, 0);

    final SimulatedTime time = SimulatedTime.create();
    final MemoryStore store = MemoryStore.create(time, time);
    final FleetModel model = FleetModel.create(time, time);
    final List<JobNode> nodes = new ArrayList<>();
    final List<MemoryStoreClient> clients = new ArrayList<>();
    final List<NodeTime> nodeTimes = new ArrayList<>();
    final List<NodeServerCommands> serverCommands = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    /** Time that the answer with the list of live servers takes in addition. */
    Duration listDelay = Duration.ZERO;
    /** Time that a request to take over the leadership takes; empty when it is lost. */
    Optional<Duration> handoverDelay = Optional.of(PEER_DELAY);

    /** Advice service of the queues that require it. */
    final AdviceModel advice = AdviceModel.create(time, model);

    /** Whether the answers of entry hosts to forwarded calls are lost. */
    boolean forwardedAnswersLost;

    /** Factor of the entry hosts' settings by which work takes longer away from its data or group. */
    double remoteFactor = 1;

    private final Map<String, JobNode> byAddress = new HashMap<>();
    private final Set<JobNode> killed = new HashSet<>();
    /** Zones that the operator can evacuate; empty when the deployment has no evacuation. */
    private Set<String> evacuableZones = Set.of();

    /** Whether the store answers reads of the evacuated zones; it answers all other calls. */
    boolean evacuationsReadable = true;

    private JobConfiguration configuration;

    JobFleet() {
        configure(new Resources(0, 0, 0), 3);
    }

    /** Returns a fleet whose entry hosts have elected a leader. */
    static JobFleet running(int nodes, int servers) {
        JobFleet fleet = new JobFleet();
        fleet.addServers(servers);
        for (int i = 0; i < nodes; i++) {
            fleet.addNode();
        }
        fleet.runFor(2000);
        return fleet;
    }

    /**
     * Returns a fleet with a leader whose racks of four servers each are a zone that can be evacuated. A work item has one
     * attempt.
     *
     * @param standby whether there is a standby pool, so that hosts move
     */
    static JobFleet evacuable(int nodes, int servers, boolean standby) {
        JobFleet fleet = new JobFleet();
        fleet.configure(new Resources(0, 0, 0), 1);
        if (!standby) {
            fleet.configure(
                    List.copyOf(fleet.configuration.queues().values()),
                    List.copyOf(fleet.configuration.teams().values()),
                    List.of(new JobPool(POOL, true, false)));
        }
        fleet.model.setZones(rack -> rack.replace("rack", "zone"));
        fleet.addServers(servers);
        fleet.evacuableZones = Set.copyOf(fleet.zones());
        for (int i = 0; i < nodes; i++) {
            fleet.addNode();
        }
        fleet.runFor(2000);
        return fleet;
    }

    /** Returns the zones of all servers, in order. */
    List<String> zones() {
        return model.serverIds().stream().map(this::zoneOf).distinct().sorted().toList();
    }

    String zoneOf(String server) {
        return model.server(server).entry().zone();
    }

    /** Stores the request that a zone takes no new work, or withdraws it. */
    void evacuate(String zone, boolean evacuated) {
        Transaction.Builder change = Transaction.builder();
        store.commit((evacuated
                        ? change.put(EVACUATION_PREFIX + zone, new byte[0])
                        : change.delete(EVACUATION_PREFIX + zone))
                .build());
        model.invariants().zoneEvacuated(zone, evacuated);
    }

    boolean isEvacuated(String zone) {
        return store.get(EVACUATION_PREFIX + zone).isPresent();
    }

    /** Returns the evacuation as an entry host reads it. */
    private Optional<EvacuationOptions> evacuation(MemoryStoreClient client) {
        MemoryStoreClient unanswered = MemoryStoreClient.create(store, time, RandomSource.SPLIT_MIX_64.create(0));
        unanswered.setLostAnswerRatio(1);
        EvacuationStore reader = () -> (evacuationsReadable ? client : unanswered)
                .range(EVACUATION_PREFIX)
                .thenApply(result -> result.map(range -> range.entries().stream()
                        .map(entry -> entry.key().substring(EVACUATION_PREFIX.length()))
                        .collect(Collectors.toSet())));
        return evacuableZones.isEmpty()
                ? Optional.empty()
                : Optional.of(new EvacuationOptions(reader, SchedulerInvariants.EVACUATION_LIMIT, evacuableZones));
    }

    /** Returns the last events, for a failure message. */
    String lastEvents() {
        List<String> lines =
                events.stream().filter(event -> !event.contains(" count ")).toList();
        return String.join("\n", lines.subList(Math.max(0, lines.size() - SHOWN_EVENTS), lines.size()));
    }

    /** Returns the server on which a work item runs. */
    String serverOf(ItemId item) {
        for (String id : model.serverIds()) {
            if (model.server(id).isRunning(item)) {
                return id;
            }
        }
        throw new AssertionError(item + " does not run\n" + lastEvents());
    }

    /** Returns the server of the first start that was ordered. */
    String serverOfFirstOrder() {
        return serversOfOrders().get(0);
    }

    /** Returns the servers of the starts that were ordered. */
    List<String> serversOfOrders() {
        return events.stream()
                .filter(event -> event.contains(" RUN_ORDERED "))
                .map(event -> event.replaceAll(".*@(\\S+).*", "$1"))
                .toList();
    }

    /** Stores a configuration with one queue, one team and two pools. */
    void configure(Resources teamLimit, int maxAttempts) {
        long version = configuration == null ? 1 : configuration.version() + 1;
        configuration = JobConfiguration.of(
                version,
                List.of(new JobQueue("queue", "host", "/q/", POOL, 3000, 600, 0, maxAttempts, 1.6, false, null)),
                List.of(new JobTeam("team", Set.of(KEY), 1, teamLimit)),
                List.of(new JobPool(POOL, true, false), new JobPool("standby", true, true)),
                16384,
                262144);
        store.commit(Transaction.builder()
                .put("config", RecordCodec.encode(configuration))
                .build());
    }

    /** Stores a configuration. */
    void configure(List<JobQueue> queues, List<JobTeam> teams, List<JobPool> pools) {
        configuration = JobConfiguration.of(configuration.version() + 1, queues, teams, pools, 16384, 262144);
        store.commit(Transaction.builder()
                .put("config", RecordCodec.encode(configuration))
                .build());
    }

    /** Deletes the configuration, which is the state before the operator has written the first one. */
    void deleteConfiguration() {
        store.commit(Transaction.builder().delete("config").build());
    }

    /** Stores a configuration in which the team has no keys. */
    void revokeKeys() {
        storeKeys(Set.of(), List.of());
    }

    /** Stores a configuration in which the team's key belongs to another team. */
    void moveKeyToOtherTeam() {
        storeKeys(Set.of(), List.of(new JobTeam("other-team", Set.of(KEY), 1, new Resources(0, 0, 0))));
    }

    private void storeKeys(Set<String> teamKeys, List<JobTeam> otherTeams) {
        JobTeam team = configuration.teams().get("team");
        List<JobTeam> teams = new ArrayList<>(otherTeams);
        teams.add(new JobTeam("team", teamKeys, team.weight(), team.limit()));
        configuration = JobConfiguration.of(
                configuration.version() + 1,
                List.copyOf(configuration.queues().values()),
                teams,
                List.copyOf(configuration.pools().values()),
                configuration.maxHeaderBytes(),
                configuration.maxBodyBytes());
        store.commit(Transaction.builder()
                .put("config", RecordCodec.encode(configuration))
                .build());
    }

    /** Stores a configuration whose queue requires advice, with the times that the advice service has now. */
    void requireAdvice() {
        configure(
                List.of(new JobQueue("queue", "host", "/q/", POOL, 3000, 600, 0, 3, 1.6, false, advice.times())),
                List.copyOf(configuration.teams().values()),
                List.of(new JobPool(POOL, true, false)));
    }

    /** Stores a configuration with one more queue. */
    void addQueue(String pathPrefix) {
        List<JobQueue> queues = new ArrayList<>(configuration.queues().values());
        queues.add(new JobQueue("added", "host", pathPrefix, POOL, 3000, 600, 0, 3, 1.6, false, null));
        configuration = JobConfiguration.of(
                configuration.version() + 1,
                queues,
                List.copyOf(configuration.teams().values()),
                List.copyOf(configuration.pools().values()),
                configuration.maxHeaderBytes(),
                configuration.maxBodyBytes());
        store.commit(Transaction.builder()
                .put("config", RecordCodec.encode(configuration))
                .build());
    }

    void addServers(int count) {
        for (int i = 0; i < count; i++) {
            model.addServer("s" + i, POOL, SERVER_CAPACITY, "rack-" + i / 4);
        }
    }

    JobNode addNode() {
        String address = "node:" + nodes.size();
        NodeTime nodeTime = NodeTime.on(time);
        NodeServerCommands commands = new NodeServerCommands(model, nodeTime, time);
        MemoryStoreClient client =
                MemoryStoreClient.create(store, nodeTime, RandomSource.SPLIT_MIX_64.create(nodes.size()));
        JobNode node = JobNode.start(new JobNode.Dependencies(
                address,
                nodeTime,
                nodeTime,
                client,
                new StoreKeys("test"),
                "config",
                bytes -> RecordCodec.decode(bytes, JobConfiguration.class),
                () -> delivered(nodeTime, afterListDelay(model.read())),
                commands,
                advice.forHost(nodeTime),
                new NodeHostControl(nodeTime),
                new NodeWaveStore(nodeTime),
                evacuation(client),
                new InProcessSchedulerClient(address),
                new RecordingTelemetry(),
                SchedulerOptions.withMaxLease(Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofSeconds(240))
                        .withRemoteFactor(remoteFactor),
                Duration.ofSeconds(4),
                Duration.ZERO));
        nodes.add(node);
        clients.add(client);
        nodeTimes.add(nodeTime);
        serverCommands.add(commands);
        byAddress.put(address, node);
        return node;
    }

    /** Cuts off an entry host without a shutdown, as SIGKILL does. */
    void kill(JobNode node) {
        int index = nodes.indexOf(node);
        clients.get(index).setReachable(false);
        killed.add(node);
    }

    /** Ends the process of an entry host without a shutdown: it sends nothing more, to servers either. */
    void killProcess(JobNode node) {
        kill(node);
        timeOf(node).kill();
    }

    /** Kills the leader's process and runs until another entry host has taken over and read the jobs. */
    void replaceLeader() {
        killProcess(leader());
        runFor(TAKEOVER_MS);
    }

    NodeTime timeOf(JobNode node) {
        return nodeTimes.get(nodes.indexOf(node));
    }

    NodeServerCommands commandsOf(JobNode node) {
        return serverCommands.get(nodes.indexOf(node));
    }

    private <T> CompletionStage<T> afterListDelay(CompletionStage<T> list) {
        return listDelay.isZero() ? list : afterDelay(listDelay, list);
    }

    private <T> CompletionStage<T> afterDelay(Duration delay, CompletionStage<T> stage) {
        CompletableFuture<T> delayed = new CompletableFuture<>();
        stage.thenAccept(result -> time.schedule(delay, () -> delayed.complete(result)));
        return delayed;
    }

    private static <T> CompletionStage<T> delivered(NodeTime nodeTime, CompletionStage<T> stage) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        stage.thenAccept(result -> nodeTime.deliver(() -> answer.complete(result)));
        return answer;
    }

    /** Returns the first running entry host that is the scheduler leader. */
    JobNode leader() {
        return nodes.stream()
                .filter(node -> !killed.contains(node) && node.scheduler().isPresent())
                .findFirst()
                .orElseThrow();
    }

    /** Returns one of the entry hosts to which the platform's balancer sends callers. */
    JobNode readyNode(int number) {
        List<JobNode> ready = nodes.stream()
                .filter(node -> !killed.contains(node) && node.isReady())
                .toList();
        return ready.get(number % ready.size());
    }

    void runFor(long ms) {
        time.runFor(Duration.ofMillis(ms));
    }

    static StepSpec step(int count, long cpuMillis, long ms, Integer... after) {
        return spec(count, cpuMillis, ms, List.of(after), false, false, false, 0);
    }

    static StepSpec speculative(int count, long cpuMillis, long ms) {
        return spec(count, cpuMillis, ms, List.of(), false, true, false, 0);
    }

    static StepSpec gang(int count, long cpuMillis, long ms) {
        return spec(count, cpuMillis, ms, List.of(), true, false, false, 0);
    }

    static StepSpec longRunning(int count, long cpuMillis, int maxUnavailable) {
        return spec(count, cpuMillis, 0, List.of(), false, false, true, maxUnavailable);
    }

    static StepSpec longRunningGang(int count, long cpuMillis) {
        return spec(count, cpuMillis, 0, List.of(), true, false, true, 0);
    }

    static StepSpec longRunningSpeculative(int count, long cpuMillis) {
        return spec(count, cpuMillis, 0, List.of(), false, true, true, 0);
    }

    private static StepSpec spec(
            int count,
            long cpuMillis,
            long ms,
            List<Integer> after,
            boolean gang,
            boolean speculative,
            boolean longRunning,
            int maxUnavailable) {
        return new StepSpec(
                count,
                new Resources(cpuMillis, 1000, 0),
                ms,
                after,
                false,
                gang,
                false,
                null,
                null,
                0,
                speculative,
                longRunning,
                null,
                0,
                false,
                maxUnavailable);
    }

    CompletionStage<JobAnswer> submit(JobNode node, String id, StepSpec... steps) {
        model.registerJob(new JobSubmission(id, "queue", "team", "spec", List.of(steps), null, 0));
        return node.service().answer(call(id, new JobCall.Submit("spec", List.of(steps), Optional.empty())));
    }

    CompletionStage<JobAnswer> submit(JobNode node, String queue, String id, List<StepSpec> steps) {
        model.registerJob(new JobSubmission(id, queue, "team", "spec", steps, null, 0));
        return node.service()
                .answer(new JobCall(
                        "host",
                        "/" + queue + "/" + id,
                        Optional.of(KEY),
                        Duration.ofSeconds(3),
                        new JobCall.Submit("spec", steps, Optional.empty())));
    }

    CompletionStage<JobAnswer> query(JobNode node, String id) {
        return node.service().answer(call(id, new JobCall.Query()));
    }

    CompletionStage<JobAnswer> cancel(JobNode node, String id) {
        return node.service().answer(call(id, new JobCall.Cancel()));
    }

    static JobCall call(String id, JobCall.Action action) {
        return new JobCall("host", "/q/" + id, Optional.of(KEY), Duration.ofSeconds(3), action);
    }

    /** Lets time pass and returns the answer of a call, or null if there is none yet. */
    JobAnswer answerAfter(long ms, CompletionStage<JobAnswer> answer) {
        runFor(ms);
        return answer.toCompletableFuture().getNow(null);
    }

    static String id(int number) {
        return String.format("%016x", number);
    }

    /** Delivers messages between entry hosts by direct calls; killed hosts do not answer. */
    private final class InProcessSchedulerClient implements SchedulerClient {
        private final String self;

        private InProcessSchedulerClient(String self) {
            this.self = self;
        }

        @Override
        public CompletionStage<Boolean> canTakeOver(String host, long fencingToken) {
            JobNode node = byAddress.get(host);
            return killed.contains(node)
                    ? CompletableFuture.completedFuture(false)
                    : afterDelay(PEER_DELAY, node.canTakeOver(fencingToken));
        }

        @Override
        public void handOver(String host, long fencingToken) {
            handoverDelay.ifPresent(delay -> time.schedule(delay, () -> {
                JobNode node = byAddress.get(host);
                if (!killed.contains(node)) {
                    timeOf(node).deliver(() -> node.onHandover(fencingToken));
                }
            }));
        }

        @Override
        public CompletionStage<Optional<ForwardedAnswer>> forward(String leader, JobCall call) {
            JobNode node = byAddress.get(leader);
            return killed.contains(node)
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : node.answerPeer(call)
                            .thenApply(answer -> Optional.of(answer).filter(a -> !forwardedAnswersLost));
        }

        @Override
        public CompletionStage<Optional<JobState>> queryState(String leader, String id) {
            JobNode node = byAddress.get(leader);
            return CompletableFuture.completedFuture(killed.contains(node) ? Optional.empty() : node.jobState(id));
        }

        @Override
        public CompletionStage<Optional<Long>> queryPendingJobs(String leader, String queue) {
            JobNode node = byAddress.get(leader);
            return CompletableFuture.completedFuture(node.scheduler().map(s -> s.pendingJobs(queue)));
        }

        @Override
        public CompletionStage<Optional<Outlook>> notifyAccepted(
                String leader, JobSubmission submission, long revision, List<ReturningJob> returningJobs) {
            if (killed.contains(byAddress.get(leader))) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            byAddress.get(leader).onCandidateSeen(self);
            return CompletableFuture.completedFuture(
                    byAddress.get(leader).onPeerAccepted(submission, revision, returningJobs));
        }

        @Override
        public CompletionStage<Optional<Outlook>> exchangeOutlook(String leader, List<ReturningJob> returningJobs) {
            JobNode node = byAddress.get(leader);
            return CompletableFuture.completedFuture(
                    killed.contains(node) ? Optional.empty() : node.exchangeOutlook(returningJobs));
        }

        @Override
        public void notifyCancelled(String leader, String id) {
            if (!killed.contains(byAddress.get(leader))) {
                byAddress.get(leader).onPeerCancelled(id);
            }
        }
    }

    /** The control of hosts as one entry host uses it. */
    private final class NodeHostControl implements HostControl {
        private final NodeTime nodeTime;

        private NodeHostControl(NodeTime nodeTime) {
            this.nodeTime = nodeTime;
        }

        @Override
        public CompletionStage<Optional<List<PlatformHost>>> listHosts() {
            return delivered(nodeTime, model.listHosts());
        }

        @Override
        public CompletionStage<HostCommandResult> move(String host, String pool, long fencingToken) {
            return delivered(nodeTime, model.move(host, pool, fencingToken));
        }

        @Override
        public CompletionStage<HostCommandResult> maintain(String host, long wave, long fencingToken) {
            return delivered(nodeTime, model.maintain(host, wave, fencingToken));
        }
    }

    /** The operator's waves as one entry host reads them. */
    private final class NodeWaveStore implements WaveStore {
        private final NodeTime nodeTime;

        private NodeWaveStore(NodeTime nodeTime) {
            this.nodeTime = nodeTime;
        }

        @Override
        public CompletionStage<Either<StoreError, List<WaveRequest>>> readWaves() {
            return delivered(nodeTime, model.readWaves());
        }

        @Override
        public Transaction.Builder writeState(Transaction.Builder transaction, WaveRequest wave, boolean completed) {
            return model.writeState(transaction, wave, completed);
        }
    }

    /** Records events and counts as lines with the time in ms. */
    private final class RecordingTelemetry implements Telemetry {
        @Override
        public void event(EventCode code, String detail) {
            events.add(time.monotonicNanos() / 1_000_000 + " " + code + " " + detail);
        }

        @Override
        public void count(CounterCode counter, String tag) {
            events.add(time.monotonicNanos() / 1_000_000 + " count " + counter + " " + tag);
        }
    }
}
