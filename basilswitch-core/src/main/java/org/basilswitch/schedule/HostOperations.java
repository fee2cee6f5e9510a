package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;

/**
 * Tracks the hosts of the platform, the hosts being drained and the pending host commands.
 *
 * <p>A command is sent only well within the leadership lease, and a new leader waits before its first command, so that
 * two leaders never send commands for the same host alternately.
 */
final class HostOperations {
    /**
     * Interval between reads of the host list; about a quarter of the time, 1.5 s or more, for which a host is
     * unavailable, which is often enough to notice its return.
     */
    private static final Duration LIST_INTERVAL = Duration.ofMillis(400);
    /** Remaining leadership lease required to send a command, to cover its transmission and a slow answer. */
    private static final Duration COMMAND_LEASE_MARGIN = Duration.ofMillis(700);

    /**
     * Number of lists that have to show a maintained host up before another one may go down; its server joins just
     * after the host.
     */
    private static final int LISTS_AFTER_MAINTENANCE = 2;

    /** Delay before a command that had no effect may be sent again. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /**
     * Time for which the former server of a host that was taken down is remembered. The registry lists it for three more
     * heartbeats, and longer while the store is unavailable.
     */
    private static final Duration FORMER_SERVER_RETENTION = Duration.ofSeconds(60);

    /** Time between a host coming up and its backend server being listed and having answered. */
    private static final Duration SERVER_JOIN_TIME = Duration.ofMillis(1000);

    private final SchedulerContext context;
    private final long fencingToken;
    private final Supplier<Boolean> maySendCommands;
    private final long firstCommandSteadyNanos;
    private Map<String, HostControl.PlatformHost> hosts = Map.of();
    private Map<String, String> hostOfServer = Map.of();
    private long listRequestedNanos = Long.MIN_VALUE;
    private boolean listing;
    private boolean closed;
    private final Set<String> draining = new HashSet<>();
    private final Map<String, PendingCommand> pendingCommands = new HashMap<>();
    private final Map<String, Long> upSinceNanos = new HashMap<>();
    /** Time of the command, ns, by identifier of the server that it ends. */
    private final Map<String, Long> formerServers = new HashMap<>();

    /** A command that was sent; the host counts as unavailable until a later list shows it up. */
    private static final class PendingCommand {
        private final long sentNanos;
        private final Optional<String> pool;
        private boolean answered;
        private int listsUp;
        private long answeredNanos;

        private PendingCommand(long sentNanos, Optional<String> pool) {
            this.sentNanos = sentNanos;
            this.pool = pool;
        }
    }

    HostOperations(SchedulerContext context, long fencingToken, Predicate<Duration> isLeaderFor) {
        this.context = context;
        this.fencingToken = fencingToken;
        this.maySendCommands = () -> isLeaderFor.test(COMMAND_LEASE_MARGIN);
        this.firstCommandSteadyNanos = context.steadyClock().monotonicNanos()
                + context.options().hostCommandPause().toNanos();
    }

    void close() {
        closed = true;
    }

    /** Reads the list of hosts if the interval has passed. */
    void refresh() {
        long nowNanos = context.holderClock().monotonicNanos();
        if (listing
                || closed
                || listRequestedNanos != Long.MIN_VALUE && nowNanos - listRequestedNanos < LIST_INTERVAL.toNanos()) {
            return;
        }
        listing = true;
        listRequestedNanos = nowNanos;
        Completions.thenAcceptOrLog(
                () -> context.hostControl().listHosts(),
                context.telemetry(),
                "list of hosts",
                result -> {
                    listing = false;
                    result.ifPresent(list -> onList(nowNanos, list));
                },
                () -> listing = false);
    }

    private void onList(long requestedNanos, List<HostControl.PlatformHost> list) {
        Map<String, HostControl.PlatformHost> next = new LinkedHashMap<>();
        Map<String, String> byServer = new HashMap<>();
        for (HostControl.PlatformHost host : list) {
            next.put(host.name(), host);
            host.serverId().ifPresent(id -> byServer.put(id, host.name()));
        }
        next.forEach((name, host) -> {
            HostControl.PlatformHost previous = hosts.get(name);
            boolean cameUp = host.state() == HostControl.PlatformHostState.UP
                    && (previous == null
                            || previous.state() != HostControl.PlatformHostState.UP
                            || !previous.pool().equals(host.pool()));
            if (cameUp) {
                upSinceNanos.put(name, context.holderClock().monotonicNanos());
            }
        });
        hosts = next;
        hostOfServer = byServer;
        pendingCommands.entrySet().removeIf(entry -> {
            HostControl.PlatformHost host = next.get(entry.getKey());
            PendingCommand command = entry.getValue();
            boolean listedLater = command.answered && requestedNanos > command.answeredNanos;
            if (host != null && listedLater && isBack(host)) {
                command.listsUp++;
            }
            return host == null || command.listsUp >= (command.pool.isPresent() ? 1 : LISTS_AFTER_MAINTENANCE);
        });
        long nowNanos = context.holderClock().monotonicNanos();
        formerServers.entrySet().removeIf(entry -> {
            // A command without effect leaves the server as it was.
            String host = byServer.get(entry.getKey());
            boolean stillThere = host != null && !pendingCommands.containsKey(host);
            return stillThere || nowNanos - entry.getValue() > FORMER_SERVER_RETENTION.toNanos();
        });
        draining.removeIf(name -> !next.containsKey(name));
    }

    /** Returns whether a host is up and its server has joined; hosts of the standby pool have no server. */
    private boolean isBack(HostControl.PlatformHost host) {
        boolean standby = context.configuration()
                .get()
                .configuration()
                .standbyPool()
                .filter(pool -> pool.name().equals(host.pool()))
                .isPresent();
        return host.state() == HostControl.PlatformHostState.UP
                && (standby || host.serverId().isPresent());
    }

    /** Returns whether the list of hosts has been read. */
    boolean hasHosts() {
        return !hosts.isEmpty();
    }

    Collection<HostControl.PlatformHost> all() {
        return hosts.values();
    }

    Optional<HostControl.PlatformHost> find(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** Returns the host of a backend server, if known. */
    Optional<String> hostOf(String serverId) {
        return Optional.ofNullable(hostOfServer.get(serverId));
    }

    /** Returns whether a host has come up within the given time, so that its backend server may not be known yet. */
    boolean cameUpWithin(String host, Duration duration) {
        Long since = upSinceNanos.get(host);
        return since != null && context.holderClock().monotonicNanos() - since <= duration.toNanos();
    }

    /** Returns the pool that a host is in or moving to. */
    String targetPoolOf(HostControl.PlatformHost host) {
        PendingCommand command = pendingCommands.get(host.name());
        return command == null ? host.pool() : command.pool.orElse(host.pool());
    }

    /**
     * Returns whether a server gets no new work because its host is being drained or was taken down. The list of hosts
     * does not name the former server of such a host any more, but the registry still does.
     */
    boolean isClosedToNewWork(String serverId) {
        if (formerServers.containsKey(serverId)) {
            return true;
        }
        String host = hostOfServer.get(serverId);
        return host != null && (draining.contains(host) || pendingCommands.containsKey(host));
    }

    /** Returns the cores of the hosts that are on their way to each pool or have arrived without a known server. */
    Map<String, Double> arrivingCores() {
        Map<String, Double> cores = new HashMap<>();
        for (HostControl.PlatformHost host : hosts.values()) {
            boolean onItsWay = pendingCommands.containsKey(host.name())
                    || host.state() == HostControl.PlatformHostState.MOVING
                    || cameUpWithin(host.name(), SERVER_JOIN_TIME);
            if (onItsWay && host.state() != HostControl.PlatformHostState.DOWN) {
                cores.merge(targetPoolOf(host), host.capacity().cpuMillis() / 1000.0, Double::sum);
            }
        }
        return cores;
    }

    void startDraining(String host) {
        draining.add(host);
    }

    void stopDraining(String host) {
        draining.remove(host);
    }

    boolean isDraining(String host) {
        return draining.contains(host);
    }

    /** Returns whether a command for a host is in progress or the host has not returned from it. */
    boolean hasPendingCommand(String host) {
        return pendingCommands.containsKey(host);
    }

    /** Returns whether host commands may be sent now. */
    boolean maySendCommands() {
        return !closed && maySendCommands.get() && context.steadyClock().monotonicNanos() >= firstCommandSteadyNanos;
    }

    /**
     * Sends a command for a host whose backend server has no runs.
     *
     * @param host name of the host
     * @param pool pool that the host moves to; empty when it stays in its pool
     * @param call sends the command
     * @param detail what the command does, for logs
     */
    CompletionStage<HostControl.HostCommandResult> sendCommand(
            String host,
            Optional<String> pool,
            Supplier<CompletionStage<HostControl.HostCommandResult>> call,
            String detail) {
        PendingCommand command = new PendingCommand(context.holderClock().monotonicNanos(), pool);
        pendingCommands.put(host, command);
        find(host)
                .flatMap(HostControl.PlatformHost::serverId)
                .ifPresent(id -> formerServers.put(id, command.sentNanos));
        return call.get().thenApply(result -> {
            command.answered = true;
            command.answeredNanos = context.holderClock().monotonicNanos();
            context.telemetry()
                    .event(
                            result == HostControl.HostCommandResult.DONE
                                    ? EventCode.HOST_ORDERED
                                    : EventCode.HOST_ORDER_FAILED,
                            "host=" + host + " " + detail + " result=" + result + " tookMs="
                                    + (command.answeredNanos - command.sentNanos) / 1_000_000);
            switch (result) {
                case DONE -> draining.remove(host);
                case NO_ANSWER, BUSY -> {}
                default ->
                    context.timers().schedule(RETRY_DELAY, () -> {
                        if (pendingCommands.get(host) == command) {
                            pendingCommands.remove(host);
                        }
                    });
            }
            return result;
        });
    }

    long fencingToken() {
        return fencingToken;
    }
}
