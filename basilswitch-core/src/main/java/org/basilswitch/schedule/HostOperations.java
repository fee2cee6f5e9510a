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
 * The hosts and the orders for them: which are being emptied, and which orders are under way.
 *
 * <p>An order is sent only well within the duty's lease, and a new holder waits before its first one, so that two
 * holders never give orders for one host by turns.
 */
final class HostOperations {
    /** A host is away for 1.5 s or more; one list in each quarter of that is enough to see it return. */
    private static final Duration LIST_INTERVAL = Duration.ofMillis(400);
    /** An order's way, including a slow answer, has to end within the duty's lease. */
    private static final Duration ORDER_MARGIN = Duration.ofMillis(700);

    /** Lists that show a maintained host up before another one may go down: its server joins just after the host. */
    private static final int LISTS_AFTER_MAINTENANCE = 2;

    /** Time before an order that had no effect is given again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(300);

    private final SchedulerContext context;
    private final long fencingToken;
    private final Supplier<Boolean> mayOrder;
    private final long firstOrderNanos;
    private Map<String, HostControl.PlatformHost> hosts = Map.of();
    private Map<String, String> hostOfServer = Map.of();
    private long listAskedNanos = Long.MIN_VALUE;
    private boolean listing;
    private boolean closed;
    private final Set<String> emptying = new HashSet<>();
    private final Map<String, PendingCommand> orders = new HashMap<>();
    private final Map<String, Long> upSinceNanos = new HashMap<>();

    /** An order that was sent; the host counts as away until a later list shows it up. */
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

    HostOperations(SchedulerContext context, long fence, Predicate<Duration> heldFor) {
        this.context = context;
        this.fencingToken = fence;
        this.mayOrder = () -> heldFor.test(ORDER_MARGIN);
        this.firstOrderNanos = context.clock().monotonicNanos()
                + context.options().hostOrderPause().toNanos();
    }

    void close() {
        closed = true;
    }

    /** Reads the list of hosts again when it is due. */
    void refresh() {
        long nowNanos = context.clock().monotonicNanos();
        if (listing
                || closed
                || listAskedNanos != Long.MIN_VALUE && nowNanos - listAskedNanos < LIST_INTERVAL.toNanos()) {
            return;
        }
        listing = true;
        listAskedNanos = nowNanos;
        Completions.then(context.hosts().list(), context.telemetry(), "list of hosts", result -> {
            listing = false;
            result.ifPresent(list -> onList(nowNanos, list));
        });
    }

    private void onList(long askedNanos, List<HostControl.PlatformHost> list) {
        Map<String, HostControl.PlatformHost> next = new LinkedHashMap<>();
        Map<String, String> byServer = new HashMap<>();
        for (HostControl.PlatformHost host : list) {
            next.put(host.name(), host);
            host.serverId().ifPresent(id -> byServer.put(id, host.name()));
        }
        next.forEach((name, host) -> {
            HostControl.PlatformHost before = hosts.get(name);
            boolean cameUp = host.state() == HostControl.PlatformHostState.UP
                    && (before == null
                            || before.state() != HostControl.PlatformHostState.UP
                            || !before.pool().equals(host.pool()));
            if (cameUp) {
                upSinceNanos.put(name, context.clock().monotonicNanos());
            }
        });
        hosts = next;
        hostOfServer = byServer;
        orders.entrySet().removeIf(entry -> {
            HostControl.PlatformHost host = next.get(entry.getKey());
            PendingCommand order = entry.getValue();
            boolean listedLater = order.answered && askedNanos > order.answeredNanos;
            if (host != null && listedLater && isBack(host)) {
                order.listsUp++;
            }
            return host == null || order.listsUp >= (order.pool.isPresent() ? 1 : LISTS_AFTER_MAINTENANCE);
        });
        emptying.removeIf(name -> !next.containsKey(name));
    }

    /** Whether a host is up, and its server has joined unless its pool is switched off. */
    private boolean isBack(HostControl.PlatformHost host) {
        boolean resting = context.configuration()
                .get()
                .configuration()
                .standbyPool()
                .filter(pool -> pool.name().equals(host.pool()))
                .isPresent();
        return host.state() == HostControl.PlatformHostState.UP
                && (resting || host.serverId().isPresent());
    }

    boolean known() {
        return !hosts.isEmpty();
    }

    Collection<HostControl.PlatformHost> all() {
        return hosts.values();
    }

    Optional<HostControl.PlatformHost> find(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** The host of a backend server. */
    Optional<String> hostOf(String serverId) {
        return Optional.ofNullable(hostOfServer.get(serverId));
    }

    /** Whether a host has come up within some time, so that its backend server may not be known yet. */
    boolean upWithin(String host, Duration duration) {
        Long since = upSinceNanos.get(host);
        return since != null && context.clock().monotonicNanos() - since <= duration.toNanos();
    }

    /** The pool that a host is in or on its way to. */
    String poolOf(HostControl.PlatformHost host) {
        PendingCommand order = orders.get(host.name());
        return order == null ? host.pool() : order.pool.orElse(host.pool());
    }

    /** Whether no new work is to be placed on a server, since its host is being emptied or away. */
    boolean closedToWork(String serverId) {
        String host = hostOfServer.get(serverId);
        return host != null && (emptying.contains(host) || orders.containsKey(host));
    }

    void empty(String host) {
        emptying.add(host);
    }

    void reopen(String host) {
        emptying.remove(host);
    }

    boolean isEmptying(String host) {
        return emptying.contains(host);
    }

    /** Whether an order for a host is under way, or its effect not over. */
    boolean isOrdered(String host) {
        return orders.containsKey(host);
    }

    boolean mayOrder() {
        return !closed && mayOrder.get() && context.clock().monotonicNanos() >= firstOrderNanos;
    }

    /**
     * Sends an order for a host whose backend server runs nothing.
     *
     * @param pool pool that the host moves to; empty when it stays in its pool
     */
    CompletionStage<HostControl.HostCommandResult> order(
            String host,
            Optional<String> pool,
            Supplier<CompletionStage<HostControl.HostCommandResult>> call,
            String what) {
        PendingCommand order = new PendingCommand(context.clock().monotonicNanos(), pool);
        orders.put(host, order);
        return call.get().thenApply(result -> {
            order.answered = true;
            order.answeredNanos = context.clock().monotonicNanos();
            context.telemetry()
                    .event(
                            result == HostControl.HostCommandResult.DONE
                                    ? EventCode.HOST_ORDERED
                                    : EventCode.HOST_ORDER_FAILED,
                            "host=" + host + " " + what + " result=" + result + " tookMs="
                                    + (order.answeredNanos - order.sentNanos) / 1_000_000);
            switch (result) {
                case DONE -> emptying.remove(host);
                case NO_ANSWER, BUSY -> {}
                default ->
                    context.timers().schedule(RETRY_PAUSE, () -> {
                        if (orders.get(host) == order) {
                            orders.remove(host);
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
