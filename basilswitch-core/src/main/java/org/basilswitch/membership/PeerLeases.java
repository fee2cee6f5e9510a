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
 * Promises between the members: a lease that a majority of peers grants instead of one service (Gray and Cheriton,
 * "Leases", 1989), bound to the configuration's revision. docs/design/membership.md gives the argument.
 *
 * <p>A host promises another, for a short time, that it has acknowledged no change beyond the other's revision. A
 * change is in force once a majority has acknowledged it. Since two majorities share a member, a host that holds a
 * majority's promises acts on nothing older than what is in force.
 */
public final class PeerLeases implements ServingLease {
    private final MemberId self;
    private final PromiseTimes times;
    private final Clock clock;
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
            ConfigurationFollower follower,
            Supplier<MembersRecord> members) {
        this.self = self;
        this.times = times;
        this.clock = clock;
        this.follower = follower;
        this.members = members;
        this.suspendedUntilNanos = clock.monotonicNanos();
    }

    /** Creates the leases of a host that holds and has given none. */
    public static PeerLeases create(
            MemberId self,
            PromiseTimes times,
            Clock clock,
            ConfigurationFollower follower,
            Supplier<MembersRecord> members) {
        return new PeerLeases(self, times, clock, follower, members);
    }

    /** Gives and acknowledges nothing until the promises of this address's earlier process have lapsed. */
    public void suspendUntilPredecessorLapses() {
        suspendedUntilNanos = clock.monotonicNanos() + times.granterNanos();
    }

    /** Makes the next heartbeat to a peer. */
    public Heartbeat createHeartbeat(MemberId to, List<TeamUsage> usages) {
        Peer peer = peers.computeIfAbsent(to, id -> new Peer());
        long sequence = nextSequence++;
        peer.sentNanos.put(sequence, clock.monotonicNanos());
        peer.sentNanos.values().removeIf(sent -> clock.monotonicNanos() - sent > times.holderNanos());
        return new Heartbeat(sequence, follower.revision(), follower.knownRevision(), acknowledgedRevision(), usages);
    }

    /** Answers a heartbeat, with a promise when none of this host's known changes is beyond the sender's revision. */
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

    /** Takes in the answer to a heartbeat. */
    public void onReply(MemberId from, HeartbeatReply reply) {
        Peer peer = recordPeerState(from, reply.revision(), reply.knownRevision(), reply.acknowledgedRevision());
        Long sentNanos = peer.sentNanos.remove(reply.sequence());
        if (sentNanos != null && reply.promised()) {
            peer.heldUntilNanos = Math.max(peer.heldUntilNanos, sentNanos + times.holderNanos());
            peer.held = true;
        }
    }

    /**
     * The newest revision that this host has acknowledged: none of its promises in force lets another host act on
     * an older one.
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

    /** The members that have acknowledged a revision, this host included. */
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
     * Whether a change is in force: a majority of the members has acknowledged it. Only a view that is itself complete
     * up to the change knows the members whose majority counts.
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

    /** Time for which a majority of a set that this host is a member of goes on promising; at most 0 for none. */
    long remainingNanos(MembersRecord view) {
        int size = view.members().size();
        if (size < view.majority()) {
            return 0;
        }
        long now = clock.monotonicNanos();
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

    /** Whether anything was heard from a host within a time. */
    public boolean heardWithin(MemberId id, Duration time) {
        Peer peer = peers.get(id);
        return peer != null && peer.heard && clock.monotonicNanos() - peer.heardNanos <= time.toNanos();
    }

    /** A peer whose view is newer than this host's, for asking it; empty when there is none. */
    public java.util.Optional<MemberId> newerPeer() {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().knownRevision > follower.revision())
                .filter(entry -> heardWithin(entry.getKey(), Duration.ofNanos(times.holderNanos())))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Forgets hosts that left the members record; promises given to them still count until they lapse. */
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
