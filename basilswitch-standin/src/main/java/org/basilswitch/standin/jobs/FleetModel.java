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

/** All backend servers and their hosts, with faults that a test sets. */
public final class FleetModel implements ServerRegistry, HostControl, WaveStore {
    private static final String NO_ADDRESS = "127.0.0.1:1";
    private static final Duration DELAY = Duration.ofMillis(1);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(700);
    private static final Duration AWAY_TIME = Duration.ofMillis(1500);
    /** A host is listed up this long before its server joins. */
    private static final Duration JOIN_TIME = Duration.ofMillis(600);

    private final Clock clock;
    private final Scheduler scheduler;
    private final Map<String, ServerModel> servers = new HashMap<>();
    private final Map<String, PlatformHost> hosts = new HashMap<>();
    private final Map<String, String> addressOfHost = new HashMap<>();
    private final Map<String, StepSpec> steps = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> lostStarts = new HashSet<>();
    private final Set<String> lostAnswers = new HashSet<>();
    private final Set<String> draining = new HashSet<>();
    private final SchedulerInvariants invariants = new SchedulerInvariants(this);
    private final List<WaveRequest> waves = new ArrayList<>();
    private final List<String> maintained = new ArrayList<>();
    private BiFunction<ItemId, BackendServer, Duration> workTimes;
    private FailurePolicy failing = (item, run, server) -> false;
    private int maxHostsDown;
    private int downForWave;
    private int moves;

    /** Decides which runs fail. */
    @FunctionalInterface
    public interface FailurePolicy {
        /** Whether a run fails. */
        boolean fails(ItemId item, int run, BackendServer server);
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

    /** Adds a host with a backend server that has no address. */
    public void addServer(String id, String pool, Resources capacity, String rack) {
        addServer(id, pool, capacity, rack, NO_ADDRESS);
    }

    /** Adds a host with a backend server; later servers of the host have the same address. */
    public void addServer(String id, String pool, Resources capacity, String rack, String address) {
        addressOfHost.put("host-" + id, address);
        hosts.put(
                "host-" + id,
                new PlatformHost(
                        "host-" + id, pool, PlatformHostState.UP, List.of("a", rack), capacity, Optional.of(id)));
        start(id, pool, capacity, rack, address);
    }

    /** Adds a host that is switched off, in a standby pool. */
    public void addStandbyHost(String id, String pool, Resources capacity, String rack) {
        addressOfHost.put("host-" + id, NO_ADDRESS);
        hosts.put(
                "host-" + id,
                new PlatformHost(
                        "host-" + id, pool, PlatformHostState.UP, List.of("a", rack), capacity, Optional.empty()));
    }

    /** Number of hosts that are not in a pool. */
    public long hostsOutside(String pool) {
        return hosts.values().stream().filter(host -> !host.pool().equals(pool)).count();
    }

    private void start(String id, String pool, Resources capacity, String rack, String address) {
        long bornMs = clock.millis();
        BackendServer entry =
                new BackendServer(id, bornMs, pool, address, "zone", false, 0, capacity, List.of("a", rack));
        servers.put(id, new ServerModel(entry, this, clock, scheduler));
    }

    /** Makes the work items of a job known, as the callers have handed them in. */
    public void register(JobSubmission job) {
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
        return workTimes.apply(item, server);
    }

    boolean fails(ItemId item, int run, BackendServer server) {
        return failing.fails(item, run, server);
    }

    /** Sets how long work items take. */
    public void setWorkTimes(BiFunction<ItemId, BackendServer, Duration> times) {
        workTimes = times;
    }

    /** Sets which runs fail. */
    public void setFailing(FailurePolicy failing) {
        this.failing = failing;
    }

    /** Cuts a server off from all callers; it goes on running. */
    public void setSilent(String id, boolean isSilent) {
        if (isSilent) {
            silent.add(id);
        } else {
            silent.remove(id);
        }
    }

    /** Ends a server with all that runs there; it stays listed until it is removed. */
    public void crash(String id) {
        servers.get(id).crash();
        silent.add(id);
    }

    /** Starts a crashed server again under its identifier. */
    public void restart(String id) {
        BackendServer before = servers.get(id).entry();
        servers.get(id).crash();
        silent.remove(id);
        start(id, before.pool(), before.capacity(), before.rack().orElse(""), before.address());
    }

    /** Reports a server as draining. */
    public void drain(String id) {
        draining.add(id);
    }

    /** Lets the next start on a server be carried out late and without an answer. */
    public void loseNextStart(String id) {
        lostStarts.add(id);
    }

    /** Lets the next start on a server be carried out without an answer. */
    public void loseNextAnswer(String id) {
        lostAnswers.add(id);
    }

    /** Adds a maintenance wave. */
    public void addWave(WaveRequest wave) {
        waves.add(wave);
    }

    /** Hosts that were maintained, in order. */
    public List<String> maintained() {
        return List.copyOf(maintained);
    }

    /** Most hosts that were away for maintenance at once. */
    public int maxHostsDown() {
        return maxHostsDown;
    }

    /** Number of moves. */
    public int moves() {
        return moves;
    }

    /** What has been observed. */
    public SchedulerInvariants invariants() {
        return invariants;
    }

    /** Number of runs at work on all servers. */
    public int runs() {
        return servers.values().stream().mapToInt(ServerModel::runs).sum();
    }

    /** The server that listens on an address now. */
    public Optional<BackendServer> serverAt(String address) {
        return servers.values().stream()
                .map(ServerModel::entry)
                .filter(entry -> entry.address().equals(address))
                .findFirst();
    }

    /** A server by its identifier. */
    public ServerModel server(String id) {
        return servers.get(id);
    }

    @Override
    public CompletionStage<Either<StoreError, List<BackendServer>>> read() {
        return later(Either.right(servers.values().stream()
                .map(server -> withState(server.entry()))
                .toList()));
    }

    private BackendServer withState(BackendServer entry) {
        return new BackendServer(
                entry.id(),
                entry.startedAtMs(),
                entry.pool(),
                entry.address(),
                entry.zone(),
                draining.contains(entry.id()),
                0,
                entry.capacity(),
                entry.labels());
    }

    private <T> CompletionStage<T> later(T value) {
        CompletableFuture<T> future = new CompletableFuture<>();
        scheduler.schedule(DELAY, () -> future.complete(value));
        return future;
    }

    /** Orders of one entry host. */
    public ServerCommands serverCommands() {
        return new Orders();
    }

    private final class Orders implements ServerCommands {

        @Override
        public CompletionStage<CommandResult> start(BackendServer server, long fence, StartCommand order) {
            if (lostStarts.remove(server.id())) {
                scheduler.schedule(
                        Duration.ofSeconds(2), () -> find(server).ifPresent(model -> model.start(fence, order)));
                return timeout();
            }
            if (lostAnswers.remove(server.id())) {
                scheduler.schedule(DELAY, () -> find(server).ifPresent(model -> model.start(fence, order)));
                return timeout();
            }
            return call(server, model -> model.start(fence, order));
        }

        @Override
        public CompletionStage<CommandResult> stop(BackendServer server, long fence, ItemId item, int run) {
            return call(server, model -> model.stop(fence, item, run));
        }

        @Override
        public CompletionStage<CommandResult> pace(
                BackendServer server, long fence, ItemId item, int run, int percent) {
            return call(server, model -> new Done());
        }

        private CompletionStage<CommandResult> call(
                BackendServer server, java.util.function.Function<ServerModel, CommandResult> action) {
            if (silent.contains(server.id()) || !servers.containsKey(server.id())) {
                return timeout();
            }
            CompletableFuture<CommandResult> future = new CompletableFuture<>();
            scheduler.schedule(ORDER_TIMEOUT, () -> future.complete(new NoAnswer("timeout")));
            scheduler.schedule(
                    DELAY,
                    () -> find(server).ifPresent(model -> {
                        CommandResult result = action.apply(model);
                        scheduler.schedule(DELAY, () -> future.complete(result));
                    }));
            return future;
        }

        private Optional<ServerModel> find(BackendServer server) {
            return Optional.ofNullable(servers.get(server.id()));
        }

        private CompletionStage<CommandResult> timeout() {
            CompletableFuture<CommandResult> future = new CompletableFuture<>();
            scheduler.schedule(ORDER_TIMEOUT, () -> future.complete(new NoAnswer("timeout")));
            return future;
        }

        @Override
        public CompletionStage<RenewalResult> renewLease(BackendServer server, long fence, LeaseRenewal order) {
            CompletableFuture<RenewalResult> future = new CompletableFuture<>();
            scheduler.schedule(
                    order.maxWait().plus(ORDER_TIMEOUT), () -> future.complete(new RenewalUnanswered("timeout")));
            if (!silent.contains(server.id())) {
                scheduler.schedule(
                        DELAY,
                        () -> find(server)
                                .ifPresent(model -> model.hold(fence, order, result -> {
                                    scheduler.schedule(DELAY, () -> {
                                        if (!silent.contains(server.id())) {
                                            future.complete(result);
                                        }
                                    });
                                })));
            }
            return future;
        }
    }

    @Override
    public CompletionStage<Optional<List<PlatformHost>>> list() {
        return later(Optional.of(List.copyOf(hosts.values())));
    }

    @Override
    public CompletionStage<HostCommandResult> move(String host, String pool, long fence) {
        PlatformHost view = hosts.get(host);
        if (view.pool().equals(pool)) {
            return later(HostCommandResult.DONE);
        }
        moves++;
        return takeAway(view, pool, PlatformHostState.MOVING);
    }

    @Override
    public CompletionStage<HostCommandResult> maintain(String host, long wave, long fence) {
        if (maintained.contains(host)) {
            return later(HostCommandResult.DONE);
        }
        maintained.add(host);
        CompletionStage<HostCommandResult> result =
                takeAway(hosts.get(host), hosts.get(host).pool(), PlatformHostState.MAINTENANCE);
        downForWave++;
        scheduler.schedule(AWAY_TIME.plus(JOIN_TIME), () -> downForWave--);
        maxHostsDown = Math.max(maxHostsDown, downForWave);
        return result;
    }

    private CompletionStage<HostCommandResult> takeAway(PlatformHost view, String pool, PlatformHostState state) {
        if (view.state() != PlatformHostState.UP) {
            return later(HostCommandResult.BUSY);
        }
        String name = view.name();
        view.serverId().ifPresent(id -> {
            servers.get(id).crash();
            servers.remove(id);
        });
        hosts.put(name, new PlatformHost(name, pool, state, view.labels(), view.capacity(), Optional.empty()));
        scheduler.schedule(AWAY_TIME, () -> {
            String id = name + "-" + clock.millis();
            hosts.put(name, listed(view, pool, Optional.empty()));
            if (!pool.equals("standby")) {
                scheduler.schedule(JOIN_TIME, () -> {
                    hosts.put(name, listed(view, pool, Optional.of(id)));
                    start(id, pool, view.capacity(), view.labels().get(1), addressOfHost.get(name));
                });
            }
        });
        return later(HostCommandResult.DONE);
    }

    private static PlatformHost listed(PlatformHost before, String pool, Optional<String> serverId) {
        return new PlatformHost(
                before.name(), pool, PlatformHostState.UP, before.labels(), before.capacity(), serverId);
    }

    @Override
    public CompletionStage<Either<StoreError, List<WaveRequest>>> readWaves() {
        return later(Either.right(List.copyOf(waves)));
    }

    @Override
    public Transaction.Builder writeState(Transaction.Builder transaction, WaveRequest wave, boolean completed) {
        return transaction.put("waves/" + wave.number(), new byte[] {(byte) (completed ? 1 : 0)});
    }
}
