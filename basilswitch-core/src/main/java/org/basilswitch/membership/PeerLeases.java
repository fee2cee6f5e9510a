package org.basilswitch.membership;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.Heartbeat;
import org.basilswitch.peer.PeerMessage.HeartbeatReply;
import org.basilswitch.peer.PeerMessage.TeamUsage;
import org.basilswitch.time.Clock;

/**
 * Leases between the members (Gray and Cheriton, "Leases", 1989). A lease is granted by a majority of the peers instead
 * of one service and is bound to a configuration revision. docs/design/membership.md gives the safety argument.
 *
 * <p>Each granted part of a lease is a promise: the granter has acknowledged no change newer than the holder's
 * revision, and acknowledges none until the promise lapses or the holder has caught up. A change is in force once a
 * majority has acknowledged it. Two majorities share a member, so that a host with the promises of a majority never
 * acts on a configuration older than the one in force.
 */
public final class PeerLeases implements ServingLease {
    private final MemberId self;
    private final PromiseTimes times;
    private final Clock clock;
    /** Counts suspensions of this host, and ends held promises early after a step of the wall clock. */
    private final Clock holderClock;

    private final ConfigurationFollower follower;
    private final Supplier<MembersRecord> members;
    private final Map<MemberId, Peer> peers = new HashMap<>();
    private long nextSequence = 1;
    private long acknowledgedRevision;
    private long suspendedUntilNanos;

    private PeerLeases(
            MemberId self,
            PromiseTimes times,
            Clock clock,
            Clock holderClock,
            ConfigurationFollower follower,
            Supplier<MembersRecord> members) {
        this.self = self;
        this.times = times;
        this.clock = clock;
        this.holderClock = holderClock;
        this.follower = follower;
        this.members = members;
        this.suspendedUntilNanos = clock.monotonicNanos();
    }

    /**
     * Creates the leases of a host that has neither given nor received a promise.
     *
     * @param self this host
     * @param times durations of a promise at its holder and its granter
     * @param clock measures the promises that this host gives; must not run ahead of real time
     * @param holderClock measures the promises that this host holds; must not fall behind real time
     * @param follower this host's view of the configuration
     * @param members the members record in this view
     */
    public static PeerLeases create(
            MemberId self,
            PromiseTimes times,
            Clock clock,
            Clock holderClock,
            ConfigurationFollower follower,
            Supplier<MembersRecord> members) {
        return new PeerLeases(self, times, clock, holderClock, follower, members);
    }

    /** Stops granting and acknowledging until the promises of the earlier incarnation at this address have lapsed. */
    public void suspendUntilPredecessorLapses() {
        suspendedUntilNanos = clock.monotonicNanos() + times.granterNanos();
    }

    /** Creates the next heartbeat to a peer and records when it is sent. */
    public Heartbeat createHeartbeat(MemberId to, List<TeamUsage> usages) {
        Peer peer = peers.computeIfAbsent(to, id -> new Peer());
        long sequence = nextSequence++;
        long now = holderClock.monotonicNanos();
        peer.sentNanos.put(sequence, now);
        peer.sentNanos.values().removeIf(sent -> now - sent > times.holderNanos());
        return new Heartbeat(sequence, follower.revision(), follower.knownRevision(), acknowledgedRevision(), usages);
    }

    /** Answers a heartbeat; promises when this host knows no change newer than the sender's revision. */
    public HeartbeatReply onHeartbeat(MemberId from, Heartbeat heartbeat) {
        Peer peer = recordPeerState(
                from, heartbeat.revision(), heartbeat.knownRevision(), heartbeat.acknowledgedRevision());
        boolean promised = mayGrantTo(from) && isUpToDate(heartbeat.revision());
        if (promised) {
            peer.grantedUntilNanos = clock.monotonicNanos() + times.granterNanos();
        }
        return new HeartbeatReply(
                heartbeat.sequence(), promised, follower.revision(), follower.knownRevision(), acknowledgedRevision());
    }

    private boolean mayGrantTo(MemberId from) {
        MembersRecord view = members.get();
        return clock.monotonicNanos() >= suspendedUntilNanos && view.contains(self) && view.contains(from);
    }

    private boolean isUpToDate(long holderRevision) {
        return holderRevision >= follower.knownRevision();
    }

    private Peer recordPeerState(MemberId from, long revision, long knownRevision, long acknowledged) {
        Peer peer = peers.computeIfAbsent(from, id -> new Peer());
        peer.heardNanos = clock.monotonicNanos();
        peer.heard = true;
        peer.revision = Math.max(peer.revision, revision);
        peer.knownRevision = Math.max(peer.knownRevision, knownRevision);
        peer.acknowledgedRevision = Math.max(peer.acknowledgedRevision, acknowledged);
        follower.advanceKnownRevision(knownRevision);
        return peer;
    }

    /** Records the answer to a heartbeat; a promise counts from the time at which the heartbeat was sent. */
    public void onReply(MemberId from, HeartbeatReply reply) {
        Peer peer = recordPeerState(from, reply.revision(), reply.knownRevision(), reply.acknowledgedRevision());
        Long sentNanos = peer.sentNanos.remove(reply.sequence());
        if (sentNanos != null && reply.promised()) {
            peer.heldUntilNanos = Math.max(peer.heldUntilNanos, sentNanos + times.holderNanos());
            peer.held = true;
        }
    }

    /**
     * Returns the newest revision that this host has acknowledged, 0 while it is suspended. No unexpired promise of
     * this host lets another host act on an older revision.
     */
    public long acknowledgedRevision() {
        if (clock.monotonicNanos() < suspendedUntilNanos) {
            return 0;
        }
        acknowledgedRevision =
                Math.max(acknowledgedRevision, Math.min(follower.knownRevision(), oldestPromisedRevision()));
        return acknowledgedRevision;
    }

    private long oldestPromisedRevision() {
        long now = clock.monotonicNanos();
        return peers.values().stream()
                .filter(peer -> peer.grantedUntilNanos > now)
                .mapToLong(peer -> peer.revision)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the members that have acknowledged a revision, this host included. */
    public Set<MemberId> acknowledgedBy(long revision) {
        follower.advanceKnownRevision(revision);
        Set<MemberId> acknowledged = new HashSet<>();
        for (Member member : members.get().members()) {
            if (acknowledgedRevisionOf(member.id()) >= revision) {
                acknowledged.add(member.id());
            }
        }
        return acknowledged;
    }

    private long acknowledgedRevisionOf(MemberId id) {
        if (id.equals(self)) {
            return acknowledgedRevision();
        }
        Peer peer = peers.get(id);
        return peer == null ? 0 : peer.acknowledgedRevision;
    }

    /**
     * Returns whether a majority of the members has acknowledged a change. This host's view must be complete up to the
     * change, because an older view may hold another set of members.
     */
    public boolean isInForce(long revision) {
        return follower.revision() >= revision
                && acknowledgedBy(revision).size() >= members.get().majority();
    }

    @Override
    public boolean mayStartWork() {
        return remainingNanos() > 0;
    }

    @Override
    public Duration remaining() {
        return Duration.ofNanos(Math.max(0, remainingNanos()));
    }

    private long remainingNanos() {
        MembersRecord view = members.get();
        return view.contains(self) ? remainingNanos(view) : 0;
    }

    /**
     * Returns how long the promises of a majority of the given members last, in nanoseconds; 0 or less when no
     * majority promises. This host must be one of the members and counts as promising to itself.
     */
    long remainingNanos(MembersRecord view) {
        int size = view.members().size();
        if (size < view.majority()) {
            return 0;
        }
        long now = holderClock.monotonicNanos();
        long[] remainingNanos = new long[size];
        for (int i = 0; i < size; i++) {
            MemberId id = view.members().get(i).id();
            remainingNanos[i] = id.equals(self) ? times.holderNanos() : heldUntilNanos(id, now) - now;
        }
        Arrays.sort(remainingNanos);
        return remainingNanos[size - view.majority()];
    }

    private long heldUntilNanos(MemberId id, long now) {
        Peer peer = peers.get(id);
        return peer == null || !peer.held ? now : peer.heldUntilNanos;
    }

    /** Returns whether a heartbeat or a reply of a host has arrived within the last {@code time}. */
    public boolean heardWithin(MemberId id, Duration time) {
        Peer peer = peers.get(id);
        return peer != null && peer.heard && clock.monotonicNanos() - peer.heardNanos <= time.toNanos();
    }

    /** Returns a responsive peer that knows a change newer than this host's view; empty when there is none. */
    public java.util.Optional<MemberId> newerPeer() {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().knownRevision > follower.revision())
                .filter(entry -> heardWithin(entry.getKey(), Duration.ofNanos(times.holderNanos())))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Removes the state of hosts that have left the members record, once the promises given to them have lapsed. */
    public void forgetDeparted() {
        MembersRecord view = members.get();
        long now = clock.monotonicNanos();
        peers.entrySet()
                .removeIf(entry -> !view.contains(entry.getKey())
                        && entry.getValue().grantedUntilNanos <= now
                        && now - entry.getValue().heardNanos > times.granterNanos());
    }

    private static final class Peer {
        private final Map<Long, Long> sentNanos = new HashMap<>();
        private long heldUntilNanos;
        private boolean held;
        private long grantedUntilNanos = Long.MIN_VALUE;
        private long heardNanos;
        private boolean heard;
        private long revision;
        private long knownRevision;
        private long acknowledgedRevision;
    }
}
