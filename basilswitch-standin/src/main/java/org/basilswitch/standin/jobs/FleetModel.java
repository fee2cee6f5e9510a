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
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.BackendServer;
import org.basilswitch.schedule.HostControl;
import org.basilswitch.schedule.ServerCommands;
import org.basilswitch.schedule.ServerRegistry;
import org.basilswitch.schedule.WaveStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** A simulated fleet of hosts and backend servers with injectable faults. */
public final class FleetModel implements ServerRegistry, HostControl, WaveStore {
    private static final String PLACEHOLDER_ADDRESS = "127.0.0.1:1";
    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(700);
    private static final Duration HOST_DOWN_TIME = Duration.ofMillis(1500);
    /** Time between the host being listed as up and its server joining the registry. */
    private static final Duration SERVER_JOIN_DELAY = Duration.ofMillis(600);

    private final Clock clock;
    private final Scheduler scheduler;
    private final Map<String, ServerModel> servers = new HashMap<>();
    private final Map<String, PlatformHost> hosts = new HashMap<>();
    private final Map<String, String> addressOfHost = new HashMap<>();
    private final Map<String, StepSpec> steps = new HashMap<>();
    private final Set<String> unreachableServers = new HashSet<>();
    private final Set<String> delayedStarts = new HashSet<>();
    private final Set<String> lostStartAnswers = new HashSet<>();
    private final Set<String> drainingServers = new HashSet<>();
    private final Set<String> rejectingServers = new HashSet<>();
    private final SchedulerInvariants invariants = new SchedulerInvariants(this);
    private final List<WaveRequest> waves = new ArrayList<>();
    private final List<String> maintainedHosts = new ArrayList<>();
    /** Waves and hosts whose maintenance was started, as "number host". */
    private final Set<String> commandedByWave = new HashSet<>();

    private BiFunction<ItemId, BackendServer, Duration> workTimes;
    private UnaryOperator<String> zoneOfRack = rack -> "zone";
    private FailurePolicy failurePolicy = (item, run, server) -> false;
    private TicketPolicy ticketPolicy = (item, ticket, server) -> true;
    private double remoteFactor = 1;
    private int maxHostsDown;
    private int hostsInMaintenance;
    private int moveCount;
    private Duration entryRetention = Duration.ZERO;
    private final Map<String, BackendServer> departedEntries = new HashMap<>();
    private int startsOnDepartedServers;

    /** Selects the runs that fail. */
    @FunctionalInterface
    public interface FailurePolicy {
        /** Returns whether a run fails. */
        boolean fails(ItemId item, int run, BackendServer server);
    }

    /** Decides whether servers accept the tickets of starts. */
    @FunctionalInterface
    public interface TicketPolicy {
        /** Returns whether a server may start a work item with a ticket. */
        boolean accepts(ItemId item, Optional<String> ticket, BackendServer server);
    }

    private FleetModel(Clock clock, Scheduler scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.workTimes = (item, server) ->
                Duration.ofMillis(step(item).map(StepSpec::estimateMs).orElse(0L));
    }

    /** Creates a fleet without servers. */
    public static FleetModel create(Clock clock, Scheduler scheduler) {
        return new FleetModel(clock, scheduler);
    }

    /** Adds a host with a backend server that has a placeholder address. */
    public void addServer(String id, String pool, Resources capacity, String rack) {
        addServer(id, pool, capacity, rack, PLACEHOLDER_ADDRESS);
    }

    /** Adds a host with a backend server; later servers on the host use the same address. */
    public void addServer(String id, String pool, Resources capacity, String rack, String address) {
        addressOfHost.put("host-" + id, address);
        hosts.put(
                "host-" + id,
                new PlatformHost(
                        "host-" + id,
                        pool,
                        PlatformHostState.UP,
                        zoneOfRack.apply(rack),
                        List.of("a", rack),
                        capacity,
                        Optional.of(id)));
        startServer(id, pool, capacity, rack, address);
    }

    /** Adds a host of a standby pool, which runs no backend server. */
    public void addStandbyHost(String id, String pool, Resources capacity, String rack) {
        addressOfHost.put("host-" + id, PLACEHOLDER_ADDRESS);
        hosts.put(
                "host-" + id,
                new PlatformHost(
                        "host-" + id,
                        pool,
                        PlatformHostState.UP,
                        zoneOfRack.apply(rack),
                        List.of("a", rack),
                        capacity,
                        Optional.empty()));
    }

    /** Returns the number of hosts in other pools than the given one. */
    public long countHostsOutside(String pool) {
        return hosts.values().stream().filter(host -> !host.pool().equals(pool)).count();
    }

    private void startServer(String id, String pool, Resources capacity, String rack, String address) {
        long startedAtMs = clock.millis();
        BackendServer entry = new BackendServer(
                id, startedAtMs, pool, address, zoneOfRack.apply(rack), false, 0, capacity, List.of("a", rack));
        servers.put(id, new ServerModel(entry, this, clock, scheduler));
    }

    /** Registers the steps of a submitted job; a start of any other work item is a violation. */
    public void registerJob(JobSubmission job) {
        for (int step = 0; step < job.steps().size(); step++) {
            steps.put(job.id() + "." + step, job.steps().get(step));
        }
    }

    long nowNanos() {
        return clock.monotonicNanos();
    }

    Optional<StepSpec> step(ItemId item) {
        return Optional.ofNullable(steps.get(item.job() + "." + item.step()));
    }

    Duration workTime(ItemId item, BackendServer server) {
        boolean isRemote = step(item)
                .flatMap(StepSpec::rackOfData)
                .filter(rack -> !server.labels().contains(rack))
                .isPresent();
        Duration near = workTimes.apply(item, server);
        return isRemote ? Duration.ofNanos((long) (near.toNanos() * remoteFactor)) : near;
    }

    boolean fails(ItemId item, int run, BackendServer server) {
        return failurePolicy.fails(item, run, server);
    }

    /** Sets the duration of work items. */
    public void setWorkTimes(BiFunction<ItemId, BackendServer, Duration> times) {
        workTimes = times;
    }

    /** Sets the availability zone of each rack, before hosts are added. */
    public void setZones(UnaryOperator<String> zones) {
        zoneOfRack = zones;
    }

    /** Sets the factor by which work items take longer away from the rack of their data. */
    public void setRemoteFactor(double factor) {
        remoteFactor = factor;
    }

    /** Sets the policy that selects the runs that fail. */
    public void setFailurePolicy(FailurePolicy failing) {
        this.failurePolicy = failing;
    }

    /** Sets the policy by which servers check the tickets of starts. */
    public void setTicketPolicy(TicketPolicy policy) {
        ticketPolicy = policy;
    }

    boolean acceptsTicket(ItemId item, Optional<String> ticket, BackendServer server) {
        return ticketPolicy.accepts(item, ticket, server);
    }

    /** Makes a server unreachable for all callers, or reachable again; its runs continue. */
    public void setUnreachable(String id, boolean unreachable) {
        if (unreachable) {
            unreachableServers.add(id);
        } else {
            unreachableServers.remove(id);
        }
    }

    /** Crashes a server; it stays registered but unreachable until a restart or until its host goes down. */
    public void crash(String id) {
        servers.get(id).crash();
        unreachableServers.add(id);
    }

    /** Restarts a server under the same identifier; active runs are lost. */
    public void restart(String id) {
        BackendServer previous = servers.get(id).entry();
        servers.get(id).crash();
        unreachableServers.remove(id);
        startServer(id, previous.pool(), previous.capacity(), previous.rack().orElse(""), previous.address());
    }

    /** Marks a server as draining in the registry. */
    public void markDraining(String id) {
        drainingServers.add(id);
    }

    /** Has a server reject all starts as unhealthy, or accept them again. */
    public void setRejecting(String id, boolean rejecting) {
        if (rejecting) {
            rejectingServers.add(id);
        } else {
            rejectingServers.remove(id);
        }
    }

    /** Delays the next start command to a server by 2 s and drops its response. */
    public void loseNextStart(String id) {
        delayedStarts.add(id);
    }

    /** Drops the response of the next start command to a server; the command takes effect. */
    public void loseNextAnswer(String id) {
        lostStartAnswers.add(id);
    }

    /** Sets the time for which the registry lists a server after its host was taken down. */
    public void setEntryRetention(Duration retention) {
        entryRetention = retention;
    }

    /** Returns the number of starts sent to servers whose host had been taken down by a command. */
    public int startsOnDepartedServers() {
        return startsOnDepartedServers;
    }

    /** Adds a maintenance wave. */
    public void addWave(WaveRequest wave) {
        waves.add(wave);
    }

    /** Returns the hosts whose maintenance was started, in order. */
    public List<String> maintainedHosts() {
        return List.copyOf(maintainedHosts);
    }

    /** Returns the highest number of hosts that were down for maintenance at the same time. */
    public int maxHostsDown() {
        return maxHostsDown;
    }

    /** Returns the number of host moves between pools. */
    public int moveCount() {
        return moveCount;
    }

    /** Returns the invariants that are checked on this fleet. */
    public SchedulerInvariants invariants() {
        return invariants;
    }

    /** Returns the number of active runs on all servers. */
    public int activeRunCount() {
        return servers.values().stream().mapToInt(ServerModel::activeRunCount).sum();
    }

    /** Returns what the active runs on all servers use of their teams' limits. */
    public Resources teamResources() {
        return servers.values().stream().map(ServerModel::teamResources).reduce(Resources.NONE, Resources::plus);
    }

    /** Returns the server that currently listens on an address; empty if there is none. */
    public Optional<BackendServer> serverAt(String address) {
        return servers.values().stream()
                .map(ServerModel::entry)
                .filter(entry -> entry.address().equals(address))
                .findFirst();
    }

    /** Returns the identifiers of all servers, in order. */
    public List<String> serverIds() {
        return servers.keySet().stream().sorted().toList();
    }

    /** Returns the server with an identifier, or null if there is none. */
    public ServerModel server(String id) {
        return servers.get(id);
    }

    @Override
    public CompletionStage<Either<StoreError, List<BackendServer>>> read() {
        List<BackendServer> entries = new ArrayList<>(departedEntries.values());
        servers.values().forEach(server -> entries.add(withDrainingState(server.entry())));
        return completeLater(Either.right(entries));
    }

    private BackendServer withDrainingState(BackendServer entry) {
        return new BackendServer(
                entry.id(),
                entry.startedAtMs(),
                entry.pool(),
                entry.address(),
                entry.zone(),
                drainingServers.contains(entry.id()),
                0,
                entry.capacity(),
                entry.labels());
    }

    private <T> CompletionStage<T> completeLater(T value) {
        CompletableFuture<T> future = new CompletableFuture<>();
        scheduler.schedule(NETWORK_DELAY, () -> future.complete(value));
        return future;
    }

    /** Returns a command interface to the servers, as one entry host uses it. */
    public ServerCommands serverCommands() {
        return new Commands();
    }

    private final class Commands implements ServerCommands {

        @Override
        public CompletionStage<CommandResult> start(BackendServer server, long fencingToken, StartCommand command) {
            startsOnDepartedServers += departedEntries.containsKey(server.id()) ? 1 : 0;
            if (delayedStarts.remove(server.id())) {
                scheduler.schedule(
                        Duration.ofSeconds(2),
                        () -> findModel(server).ifPresent(model -> model.start(fencingToken, command)));
                return unanswered();
            }
            if (lostStartAnswers.remove(server.id())) {
                scheduler.schedule(
                        NETWORK_DELAY, () -> findModel(server).ifPresent(model -> model.start(fencingToken, command)));
                return unanswered();
            }
            return call(
                    server,
                    model -> rejectingServers.contains(server.id())
                            ? new Rejected(Reason.UNHEALTHY)
                            : model.start(fencingToken, command));
        }

        @Override
        public CompletionStage<CommandResult> stop(BackendServer server, long fencingToken, ItemId item, int run) {
            return call(server, model -> model.stop(fencingToken, item, run));
        }

        @Override
        public CompletionStage<CommandResult> setPace(
                BackendServer server, long fencingToken, ItemId item, int run, int percent) {
            return call(server, model -> model.setPace(fencingToken, item, run, percent));
        }

        private CompletionStage<CommandResult> call(
                BackendServer server, java.util.function.Function<ServerModel, CommandResult> action) {
            if (unreachableServers.contains(server.id()) || !servers.containsKey(server.id())) {
                return unanswered();
            }
            CompletableFuture<CommandResult> future = new CompletableFuture<>();
            scheduler.schedule(COMMAND_TIMEOUT, () -> future.complete(new NoAnswer("timeout")));
            scheduler.schedule(
                    NETWORK_DELAY,
                    () -> findModel(server).ifPresent(model -> {
                        CommandResult result = action.apply(model);
                        scheduler.schedule(NETWORK_DELAY, () -> future.complete(result));
                    }));
            return future;
        }

        private Optional<ServerModel> findModel(BackendServer server) {
            return Optional.ofNullable(servers.get(server.id()));
        }

        private CompletionStage<CommandResult> unanswered() {
            CompletableFuture<CommandResult> future = new CompletableFuture<>();
            scheduler.schedule(COMMAND_TIMEOUT, () -> future.complete(new NoAnswer("timeout")));
            return future;
        }

        @Override
        public CompletionStage<RenewalResult> renewLease(
                BackendServer server, long fencingToken, LeaseRenewal renewal) {
            CompletableFuture<RenewalResult> future = new CompletableFuture<>();
            scheduler.schedule(
                    renewal.maxWait().plus(COMMAND_TIMEOUT), () -> future.complete(new RenewalUnanswered("timeout")));
            if (!unreachableServers.contains(server.id())) {
                scheduler.schedule(
                        NETWORK_DELAY,
                        () -> findModel(server)
                                .ifPresent(model -> model.renewLease(fencingToken, renewal, result -> {
                                    scheduler.schedule(NETWORK_DELAY, () -> {
                                        if (!unreachableServers.contains(server.id())) {
                                            future.complete(result);
                                        }
                                    });
                                })));
            }
            return future;
        }
    }

    @Override
    public CompletionStage<Optional<List<PlatformHost>>> listHosts() {
        return completeLater(Optional.of(List.copyOf(hosts.values())));
    }

    @Override
    public CompletionStage<HostCommandResult> move(String host, String pool, long fencingToken) {
        PlatformHost platformHost = hosts.get(host);
        if (platformHost.pool().equals(pool)) {
            return completeLater(HostCommandResult.DONE);
        }
        moveCount++;
        return takeDown(platformHost, pool, PlatformHostState.MOVING);
    }

    @Override
    public CompletionStage<HostCommandResult> maintain(String host, long wave, long fencingToken) {
        if (!commandedByWave.add(wave + " " + host)) {
            return completeLater(HostCommandResult.DONE);
        }
        maintainedHosts.add(host);
        CompletionStage<HostCommandResult> result =
                takeDown(hosts.get(host), hosts.get(host).pool(), PlatformHostState.MAINTENANCE);
        hostsInMaintenance++;
        scheduler.schedule(HOST_DOWN_TIME.plus(SERVER_JOIN_DELAY), () -> hostsInMaintenance--);
        maxHostsDown = Math.max(maxHostsDown, hostsInMaintenance);
        return result;
    }

    private CompletionStage<HostCommandResult> takeDown(
            PlatformHost platformHost, String pool, PlatformHostState state) {
        if (platformHost.state() != PlatformHostState.UP) {
            return completeLater(HostCommandResult.BUSY);
        }
        String name = platformHost.name();
        platformHost.serverId().ifPresent(id -> {
            BackendServer departed = servers.get(id).entry();
            servers.get(id).takeDown();
            servers.remove(id);
            if (!entryRetention.isZero()) {
                departedEntries.put(id, departed);
                scheduler.schedule(entryRetention, () -> departedEntries.remove(id));
            }
        });
        hosts.put(
                name,
                new PlatformHost(
                        name,
                        pool,
                        state,
                        platformHost.zone(),
                        platformHost.labels(),
                        platformHost.capacity(),
                        Optional.empty()));
        scheduler.schedule(HOST_DOWN_TIME, () -> {
            String id = name + "-" + clock.millis();
            hosts.put(name, upHost(platformHost, pool, Optional.empty()));
            if (!pool.equals("standby")) {
                scheduler.schedule(SERVER_JOIN_DELAY, () -> {
                    hosts.put(name, upHost(platformHost, pool, Optional.of(id)));
                    startServer(
                            id,
                            pool,
                            platformHost.capacity(),
                            platformHost.labels().get(1),
                            addressOfHost.get(name));
                });
            }
        });
        return completeLater(HostCommandResult.DONE);
    }

    private static PlatformHost upHost(PlatformHost previous, String pool, Optional<String> serverId) {
        return new PlatformHost(
                previous.name(),
                pool,
                PlatformHostState.UP,
                previous.zone(),
                previous.labels(),
                previous.capacity(),
                serverId);
    }

    @Override
    public CompletionStage<Either<StoreError, List<WaveRequest>>> readWaves() {
        return completeLater(Either.right(List.copyOf(waves)));
    }

    @Override
    public Transaction.Builder writeState(Transaction.Builder transaction, WaveRequest wave, boolean completed) {
        return transaction.put("waves/" + wave.number(), new byte[] {(byte) (completed ? 1 : 0)});
    }
}
