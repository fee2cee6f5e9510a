package org.basilswitch.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.basilswitch.membership.UsageReports;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.TeamUsage;
import org.basilswitch.time.Clock;

/**
 * Running and waiting requests by pool and team, at this entry host and as its peers last reported them.
 *
 * <p>Entries are absolute values, sent when they change, so that a lost or repeated message has no lasting effect.
 * Every entry is sent again within the refresh time. The reports of a silent peer are dropped.
 */
public final class FleetUsage implements UsageReports {
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration REFRESH_TIME = Duration.ofSeconds(4);
    private static final int ENTRY_OVERHEAD_BYTES = 11;
    private static final int DEFAULT_BYTES_PER_SECOND = 1_500;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Clock clock;
    private final int bytesPerSecond;
    private final Map<String, PoolUsage> own = new HashMap<>();
    private final Map<String, PoolUsage> fleet = new HashMap<>();
    private final Map<MemberId, Peer> peers = new HashMap<>();
    private long sentBytes;

    private FleetUsage(Clock clock, int bytesPerSecond) {
        this.clock = clock;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Creates an empty view with the default budget for reports to all peers together. */
    public static FleetUsage create(Clock clock) {
        return new FleetUsage(clock, DEFAULT_BYTES_PER_SECOND);
    }

    /** Creates an empty view with a budget, in bytes per second, for reports to all peers together. */
    public static FleetUsage create(Clock clock, int bytesPerSecond) {
        return new FleetUsage(clock, bytesPerSecond);
    }

    /**
     * Applies a peer's report; the caller drops reports that arrive out of order.
     *
     * @param member the reporting entry host
     * @param usages the entries that changed; an empty list shows only that the peer is alive
     */
    @Override
    public void record(MemberId member, List<TeamUsage> usages) {
        Peer peer = peers.computeIfAbsent(member, id -> new Peer());
        peer.lastReportNanos = clock.monotonicNanos();
        for (TeamUsage usage : usages) {
            apply(peer, usage);
        }
    }

    private void apply(Peer peer, TeamUsage usage) {
        long now = clock.monotonicNanos();
        PoolUsage known = poolOf(peer.reported, usage.pool());
        PoolUsage total = poolOf(fleet, usage.pool());
        String team = usage.team();
        boolean firstReport = !known.hasTeam(team);
        int running = Math.max(0, usage.running()) - known.running(team);
        int waiting = Math.max(0, usage.waiting()) - known.waiting(team);
        known.add(team, running, waiting, now);
        total.add(team, running, waiting, now);
        long correction = usage.usedMs() * NANOS_PER_MS - known.usedNanos(team, now);
        known.adjustUsedNanos(team, correction, now);
        if (!firstReport) {
            total.adjustUsedNanos(team, correction, now);
        }
    }

    /** Returns the entries to report to a peer now, with the largest changes first, within the byte budget. */
    @Override
    public List<TeamUsage> changesFor(MemberId member) {
        Peer peer = peers.computeIfAbsent(member, id -> new Peer());
        peer.refill(clock.monotonicNanos(), (double) bytesPerSecond / peers.size());
        List<Change> changes = pendingChanges(peer);
        changes.sort(Comparator.comparingDouble(Change::weight).reversed());
        List<TeamUsage> chosen = new ArrayList<>();
        for (Change change : changes) {
            int bytes = bytesOf(change.usage);
            if (peer.budgetBytes < bytes) {
                break;
            }
            peer.budgetBytes -= bytes;
            sentBytes += bytes;
            peer.sent.put(
                    new Key(change.usage.pool(), change.usage.team()), new Sent(change.usage, peer.refilledNanos));
            chosen.add(change.usage);
        }
        return chosen;
    }

    private List<Change> pendingChanges(Peer peer) {
        List<Change> changes = new ArrayList<>();
        own.forEach((pool, usage) -> {
            for (String team : usage.teams()) {
                TeamUsage current = currentUsage(pool, team, usage, peer.refilledNanos);
                double weight = changeWeight(current, peer.sent.get(new Key(pool, team)), peer.refilledNanos);
                if (weight > 0) {
                    changes.add(new Change(current, weight));
                }
            }
        });
        return changes;
    }

    private static TeamUsage currentUsage(String pool, String team, PoolUsage usage, long nowNanos) {
        long usedMs = usage.usedNanos(team, nowNanos) / NANOS_PER_MS;
        return new TeamUsage(pool, team, usage.running(team), usage.waiting(team), usedMs);
    }

    private static double changeWeight(TeamUsage current, Sent sent, long nowNanos) {
        int oldRunning = sent == null ? 0 : sent.usage.running();
        int oldWaiting = sent == null ? 0 : sent.usage.waiting();
        int change = Math.abs(current.running() - oldRunning) + Math.abs(current.waiting() - oldWaiting);
        double weight = change / (1.0 + oldRunning + oldWaiting);
        boolean refreshDue = sent != null && nowNanos - sent.atNanos > REFRESH_TIME.toNanos();
        return refreshDue ? weight + 1 : weight;
    }

    /** Returns the number of bytes that an entry takes in a message, including names. */
    public static int bytesOf(TeamUsage usage) {
        return usage.pool().length() + usage.team().length() + ENTRY_OVERHEAD_BYTES;
    }

    /** Returns the number of bytes of the entries returned for sending so far. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Removes an entry host that has left the members record. */
    @Override
    public void removeMember(MemberId member) {
        Peer peer = peers.remove(member);
        if (peer != null) {
            removeReports(peer);
        }
    }

    private void removeReports(Peer peer) {
        peer.reported.forEach((pool, usage) -> {
            for (String team : usage.teams()) {
                poolOf(fleet, pool).add(team, -usage.running(team), -usage.waiting(team), clock.monotonicNanos());
            }
        });
        peer.reported.clear();
    }

    /** Drops the reports of peers that have sent none within the peer timeout. */
    public void expire() {
        long now = clock.monotonicNanos();
        for (Peer peer : peers.values()) {
            if (!peer.reported.isEmpty() && now - peer.lastReportNanos > PEER_TIMEOUT.toNanos()) {
                removeReports(peer);
            }
        }
    }

    /** Returns the number of running and waiting requests of a pool across the fleet. */
    public int demandSlots(String pool) {
        return poolOf(fleet, pool).demand();
    }

    /** Adds to this host's own counts. */
    void addToOwn(String pool, String team, int runningChange, int waitingChange) {
        long now = clock.monotonicNanos();
        poolOf(own, pool).add(team, runningChange, waitingChange, now);
        poolOf(fleet, pool).add(team, runningChange, waitingChange, now);
    }

    /** Returns this host's usage of a pool. */
    PoolUsage own(String pool) {
        return poolOf(own, pool);
    }

    /** Returns the fleet's usage of a pool. */
    PoolUsage fleet(String pool) {
        return poolOf(fleet, pool);
    }

    /** Returns another member's usage of a pool as last reported; all zero when it has reported none. */
    PoolUsage reportedBy(MemberId member, String pool) {
        Peer peer = peers.get(member);
        return peer == null ? new PoolUsage() : poolOf(peer.reported, pool);
    }

    /** Returns the members that have sent or received reports. */
    Set<MemberId> peers() {
        return peers.keySet();
    }

    private static PoolUsage poolOf(Map<String, PoolUsage> pools, String pool) {
        return pools.computeIfAbsent(pool, name -> new PoolUsage());
    }

    private record Key(String pool, String team) {}

    private record Sent(TeamUsage usage, long atNanos) {}

    private record Change(TeamUsage usage, double weight) {}

    private static final class Peer {
        private static final double MAX_BUDGET_BYTES = 512;

        private final Map<String, PoolUsage> reported = new HashMap<>();
        private final Map<Key, Sent> sent = new HashMap<>();
        private long lastReportNanos;
        private long refilledNanos;
        private double budgetBytes = MAX_BUDGET_BYTES / 2;

        private void refill(long nowNanos, double bytesPerSecond) {
            double gained = (nowNanos - refilledNanos) / NANOS_PER_SECOND * bytesPerSecond;
            budgetBytes = Math.min(MAX_BUDGET_BYTES, budgetBytes + gained);
            refilledNanos = nowNanos;
        }
    }
}
