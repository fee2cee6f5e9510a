package org.basilswitch.backpressure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.basilswitch.time.Clock;

/**
 * The open connections of a server and the memory that each of them holds. When memory or connections run short, it
 * chooses which connection gives way: first those that have made no progress, then the ones that hold most, so that a
 * caller who sends a small request in one go is served beside any crowd. An idle connection may give way, too: it can
 * hold memory of what it sent before. A request that was read whole is not dropped, unless its caller sent more requests
 * ahead than are read.
 *
 * @param <C> the server's connections
 */
public final class ConnectionTable<C> {
    /** Time without progress from which a connection gives way before larger ones that make progress. */
    private static final Duration STALL_GRACE = Duration.ofMillis(500);

    private final ConnectionLimits limits;
    private final Clock clock;
    private final BiConsumer<C, ShedReason> shedder;
    private final List<Entry<C>> entries = new ArrayList<>();
    private final Map<String, Integer> connectionsByAddress = new HashMap<>();
    private long usedBytes;

    /** A connection in the table. */
    public static final class Entry<C> {
        private final C connection;
        private final String address;
        private int index;
        private int requestsInWork;
        private boolean receiving;
        private boolean receivingHeader;
        private boolean blocked;
        private boolean waiting;
        private boolean served;
        private long chargedBytes;
        private long stateSinceNanos;
        private long progressNanos;

        private Entry(C connection, String address, int index, long nowNanos) {
            this.connection = connection;
            this.address = address;
            this.index = index;
            this.stateSinceNanos = nowNanos;
            this.progressNanos = nowNanos;
        }

        private boolean isOpen() {
            return index >= 0;
        }

        private boolean isUnfinished() {
            return receiving || blocked;
        }

        /** Returns whether the connection may be closed for others without the loss of a request that was read whole. */
        private boolean mayGiveWay() {
            return isUnfinished() || requestsInWork == 0;
        }
    }

    private ConnectionTable(ConnectionLimits limits, Clock clock, BiConsumer<C, ShedReason> shedder) {
        this.limits = limits;
        this.clock = clock;
        this.shedder = shedder;
    }

    /**
     * Creates an empty table.
     *
     * @param shedder closes a connection, which has already left the table
     */
    public static <C> ConnectionTable<C> create(
            ConnectionLimits limits, Clock clock, BiConsumer<C, ShedReason> shedder) {
        return new ConnectionTable<>(limits, clock, shedder);
    }

    /** Adds a connection, for which another one may have to give way; empty when the connection must be closed. */
    public Optional<Entry<C>> open(C connection, String address) {
        if (limits.maxConnectionsPerAddress() > 0
                && connectionsByAddress.getOrDefault(address, 0) >= limits.maxConnectionsPerAddress()) {
            shedder.accept(connection, ShedReason.ADDRESS_FULL);
            return Optional.empty();
        }
        if (entries.size() >= limits.maxConnections()) {
            Optional<Entry<C>> leaving = leastUseful();
            if (leaving.isEmpty()) {
                shedder.accept(connection, ShedReason.CONNECTIONS_FULL);
                return Optional.empty();
            }
            shed(leaving.get(), ShedReason.CONNECTIONS_FULL);
        }
        Entry<C> entry = new Entry<>(connection, address, entries.size(), clock.monotonicNanos());
        entries.add(entry);
        if (limits.maxConnectionsPerAddress() > 0) {
            connectionsByAddress.merge(address, 1, Integer::sum);
        }
        return Optional.of(entry);
    }

    /** Removes a connection and releases what it holds; has no effect when it was removed before. */
    public void close(Entry<C> entry) {
        if (!entry.isOpen()) {
            return;
        }
        Entry<C> last = entries.remove(entries.size() - 1);
        if (last != entry) {
            entries.set(entry.index, last);
            last.index = entry.index;
        }
        entry.index = -1;
        usedBytes -= entry.chargedBytes;
        entry.chargedBytes = 0;
        if (limits.maxConnectionsPerAddress() > 0) {
            connectionsByAddress.computeIfPresent(entry.address, (key, count) -> count > 1 ? count - 1 : null);
        }
    }

    /** A header has begun; it has to be complete within the time for progress. */
    public void onHeaderStarted(Entry<C> entry) {
        startReceiving(entry, true);
    }

    /** A header is complete, and its body follows. */
    public void onBodyStarted(Entry<C> entry) {
        startReceiving(entry, false);
    }

    private void startReceiving(Entry<C> entry, boolean header) {
        entry.receiving = true;
        entry.receivingHeader = header;
        entry.progressNanos = clock.monotonicNanos();
        entry.stateSinceNanos = entry.progressNanos;
    }

    /**
     * Part of a body arrived.
     *
     * @param bytes memory that it takes beyond what is already charged, bytes
     * @return whether the connection may keep it; otherwise the connection was shed
     */
    public boolean onBodyPart(Entry<C> entry, long bytes) {
        if (entry.receiving) {
            entry.progressNanos = clock.monotonicNanos();
        }
        return charge(entry, bytes);
    }

    /** A request was read whole and is in work until {@link #onRequestEnded}. */
    public void onRequestRead(Entry<C> entry) {
        entry.receiving = false;
        entry.requestsInWork++;
    }

    /** A request that was read whole has been answered. */
    public void onRequestEnded(Entry<C> entry) {
        entry.requestsInWork--;
        entry.served = true;
        entry.stateSinceNanos = clock.monotonicNanos();
    }

    /** The rest of a request is not expected any more. */
    public void onReceivingEnded(Entry<C> entry) {
        entry.receiving = false;
    }

    /** Sets whether requests that were sent ahead wait unread. */
    public void setBlocked(Entry<C> entry, boolean blocked) {
        if (blocked && !entry.blocked) {
            entry.progressNanos = clock.monotonicNanos();
            entry.stateSinceNanos = entry.progressNanos;
        }
        entry.blocked = blocked;
    }

    /** Sets whether received bytes wait for their turn to be decoded, which is no lack of progress of the caller. */
    public void setWaiting(Entry<C> entry, boolean waiting) {
        if (entry.waiting && !waiting) {
            entry.progressNanos = clock.monotonicNanos();
        }
        entry.waiting = waiting;
    }

    /**
     * Charges memory to a connection. When more is in use than there is, connections are shed until there is enough.
     *
     * @return whether the connection may keep it; otherwise the connection was shed
     */
    public boolean charge(Entry<C> entry, long bytes) {
        if (!entry.isOpen()) {
            return false;
        }
        entry.chargedBytes += bytes;
        usedBytes += bytes;
        while (usedBytes > limits.bufferBytes() && entry.isOpen()) {
            shed(largestHolder().orElse(entry), ShedReason.BUFFERS_FULL);
        }
        return entry.isOpen();
    }

    /** Releases memory that was charged to a connection. */
    public void release(Entry<C> entry, long bytes) {
        if (entry.isOpen()) {
            entry.chargedBytes -= bytes;
            usedBytes -= bytes;
        }
    }

    /**
     * Sheds the connections whose requests have made no progress for too long.
     *
     * @return whether unfinished requests are left, which have to be checked again about a second later
     */
    public boolean shedStalled() {
        Duration timeout = usedBytes > limits.bufferBytes() / 2 ? limits.shortageTimeout() : limits.progressTimeout();
        long latestNanos = clock.monotonicNanos() - timeout.toNanos();
        List<Entry<C>> unfinished = entries.stream().filter(Entry::isUnfinished).toList();
        unfinished.stream()
                .filter(entry -> !entry.waiting)
                .filter(entry -> entry.requestsInWork == 0 || entry.receiving && !entry.receivingHeader)
                .filter(entry ->
                        (entry.receivingHeader ? entry.stateSinceNanos : entry.progressNanos) - latestNanos < 0)
                .forEach(entry -> shed(entry, ShedReason.STALLED));
        return !unfinished.isEmpty();
    }

    /** Returns the memory that is in use, bytes. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the number of connections. */
    public int connections() {
        return entries.size();
    }

    private void shed(Entry<C> entry, ShedReason reason) {
        close(entry);
        shedder.accept(entry.connection, reason);
    }

    /** Returns the connection to shed when memory is short; empty when each one waits for an answer. */
    private Optional<Entry<C>> largestHolder() {
        long stalledNanos = clock.monotonicNanos() - STALL_GRACE.toNanos();
        Predicate<Entry<C>> holding = entry -> entry.mayGiveWay() && entry.chargedBytes > 0;
        Predicate<Entry<C>> stalled = entry -> entry.isUnfinished()
                && !entry.waiting
                && entry.requestsInWork == 0
                && entry.progressNanos - stalledNanos < 0;
        return first(holding.and(stalled), (a, b) -> Long.compare(a.progressNanos - b.progressNanos, 0))
                .or(() -> first(holding, Comparator.comparingLong(entry -> -entry.chargedBytes)));
    }

    /**
     * Returns the connection to shed when there are too many: the request that has been unfinished for longest, then the
     * connection without any request, then the one that has been idle for longest.
     */
    private Optional<Entry<C>> leastUseful() {
        Comparator<Entry<C>> bySince = (a, b) -> Long.compare(a.stateSinceNanos - b.stateSinceNanos, 0);
        return first(entry -> entry.isUnfinished() && entry.requestsInWork == 0, bySince)
                .or(() -> first(entry -> entry.requestsInWork == 0 && !entry.served, bySince))
                .or(() -> first(entry -> entry.requestsInWork == 0, bySince));
    }

    private Optional<Entry<C>> first(Predicate<Entry<C>> filter, Comparator<Entry<C>> order) {
        Entry<C> best = null;
        for (Entry<C> entry : entries) {
            if (filter.test(entry) && (best == null || order.compare(entry, best) < 0)) {
                best = entry;
            }
        }
        return Optional.ofNullable(best);
    }
}
