package org.basilswitch.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerLink;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.PeerMessage.ConfigurationUpdate;
import org.basilswitch.peer.PeerMessage.Heartbeat;
import org.basilswitch.peer.PeerMessage.HeartbeatReply;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Keeps one entry host a member of its site: joins, exchanges heartbeats, relays configuration changes and removes
 * members that have stopped answering.
 */
public final class Membership implements AutoCloseable {
    /** Delay before a changed view is announced, so that changes close together share one heartbeat. */
    private static final Duration ANNOUNCE_DELAY = Duration.ofMillis(5);
    /** Shortest time between two requests for missing changes. */
    private static final Duration GAP_REQUEST_INTERVAL = Duration.ofMillis(300);
    /** Silence after which a member is removed, as a multiple of the granter's promise time. */
    private static final int REMOVAL_SILENCE_PROMISE_TIMES = 5;
    /** Silence after which a member is no candidate for watching the store, in heartbeat intervals. */
    private static final int WATCHER_SILENCE_HEARTBEATS = 4;

    private static final Duration LEAVE_RETRY_DELAY = Duration.ofMillis(200);

    private final MembershipOptions options;
    private final Clock clock;
    private final Scheduler scheduler;
    private final ConfigurationFollower follower;
    private final PeerLink link;
    private final Telemetry telemetry;
    private final PeerLeases leases;
    private final InForceWaiters inForceWaiters;
    private final MembersEditor editor;
    private UsageReports usageReports = UsageReports.none();
    private MembersRecord view = MembersRecord.empty();
    private long viewRevision;
    private long viewAppliedNanos;
    private long lastGapRequestNanos;
    private boolean wasMember;
    private boolean wasServing;
    private boolean announceScheduled;
    private boolean leaving;
    private boolean closed;

    private Membership(
            MembershipOptions options,
            Clock clock,
            Clock holderClock,
            Scheduler scheduler,
            PlatformStore store,
            ConfigurationFollower follower,
            PeerLink link,
            Telemetry telemetry) {
        this.options = options;
        this.clock = clock;
        this.scheduler = scheduler;
        this.follower = follower;
        this.link = link;
        this.telemetry = telemetry;
        MemberId self = options.self.id();
        this.leases = PeerLeases.create(self, options.times, clock, holderClock, follower, this::view);
        this.inForceWaiters = new InForceWaiters(leases, this::view, scheduler);
        this.editor = new MembersEditor(options.self, options.keys, store, follower, leases, telemetry);
    }

    /**
     * Options of a membership.
     *
     * @param self this host
     * @param keys keys of the records in the store
     * @param times durations of a promise at its holder and its granter
     * @param heartbeatInterval time between heartbeats to each peer
     */
    public record MembershipOptions(Member self, StoreKeys keys, PromiseTimes times, Duration heartbeatInterval) {}

    /** Creates a membership that is inactive until {@link #start}; {@link PeerLeases#create} explains the two clocks. */
    public static Membership create(
            MembershipOptions options,
            Clock clock,
            Clock holderClock,
            Scheduler scheduler,
            PlatformStore store,
            ConfigurationFollower follower,
            PeerLink link,
            Telemetry telemetry) {
        return new Membership(options, clock, holderClock, scheduler, store, follower, link, telemetry);
    }

    /** Starts joining and sending heartbeats. */
    public void start() {
        follower.onChange(configuration -> onConfigurationChanged());
        follower.onWatchUpdate(this::relayToZone);
        tick();
    }

    /** Sets the source and receiver of the usage reports that heartbeats carry. */
    public void setUsageReports(UsageReports reports) {
        usageReports = reports;
    }

    /** Returns the newest members record that this host has read; empty before the first. */
    public MembersRecord view() {
        return view;
    }

    /** Returns the store revision of the members record in {@link #view}; 0 before the first. */
    public long viewRevision() {
        return viewRevision;
    }

    /** Returns the promises that this host has given and holds. */
    public PeerLeases leases() {
        return leases;
    }

    /** Returns the monitor of changes coming into force. */
    public InForceMonitor inForceMonitor() {
        return inForceWaiters;
    }

    private void onConfigurationChanged() {
        if (follower.membersRevision() != viewRevision) {
            applyView(follower.membersValue().flatMap(MembersRecord::decode).orElse(MembersRecord.empty()));
        }
        scheduleAnnouncement();
    }

    private void applyView(MembersRecord next) {
        for (Member old : view.members()) {
            if (!next.contains(old.id())) {
                usageReports.removeMember(old.id());
            }
        }
        view = next;
        viewRevision = follower.membersRevision();
        viewAppliedNanos = clock.monotonicNanos();
        telemetry.event(
                EventCode.MEMBERS_CHANGED,
                "epoch=" + next.epoch() + " members=" + next.members().size());
        reportOwnMembership();
        electWatcher();
    }

    private void reportOwnMembership() {
        boolean isMember = view.contains(options.self.id());
        if (isMember && !wasMember) {
            telemetry.event(EventCode.MEMBER_JOINED, "epoch=" + view.epoch());
        } else if (!isMember && wasMember && !leaving) {
            telemetry.event(EventCode.MEMBER_EXPELLED, "epoch=" + view.epoch());
        }
        wasMember = isMember;
    }

    /** Schedules heartbeats that announce a new view; changes within the delay share them. */
    private void scheduleAnnouncement() {
        if (announceScheduled) {
            return;
        }
        announceScheduled = true;
        scheduler.schedule(ANNOUNCE_DELAY, () -> {
            announceScheduled = false;
            if (!closed) {
                sendHeartbeats();
                updateServingState();
            }
        });
    }

    private void tick() {
        if (closed) {
            return;
        }
        sendHeartbeats();
        leases.forgetDeparted();
        electWatcher();
        requestMissingChanges();
        if (!leaving && follower.isLoaded() && !view.contains(options.self.id())) {
            editor.tryJoin(view);
        }
        removeSilentMember();
        updateServingState();
        scheduler.schedule(options.heartbeatInterval, this::tick);
    }

    private void sendHeartbeats() {
        for (Member member : view.members()) {
            if (!member.id().equals(options.self.id())) {
                link.send(member.id(), leases.createHeartbeat(member.id(), usageReports.changesFor(member.id())));
            }
        }
    }

    /** Handles a peer's membership message; returns false when the message belongs to another component. */
    public boolean receive(MemberId from, PeerMessage message) {
        if (closed) {
            return true;
        }
        switch (message) {
            case Heartbeat heartbeat -> onHeartbeat(from, heartbeat);
            case HeartbeatReply reply -> leases.onReply(from, reply);
            case ConfigurationUpdate update -> follower.applyPeerUpdate(update);
            case PeerMessage.SnapshotRequest request -> link.send(from, follower.updateSince(request.revision()));
            default -> {
                return false;
            }
        }
        updateServingState();
        return true;
    }

    private void onHeartbeat(MemberId from, Heartbeat heartbeat) {
        HeartbeatReply reply = leases.onHeartbeat(from, heartbeat);
        link.send(from, reply);
        if (view.contains(from)) {
            usageReports.record(from, heartbeat.usages());
        }
    }

    private void updateServingState() {
        inForceWaiters.completeInForce();
        boolean serving = leases.mayStartWork();
        if (serving != wasServing) {
            telemetry.event(serving ? EventCode.SERVING_STARTED : EventCode.SERVING_STOPPED, "epoch=" + view.epoch());
            wasServing = serving;
        }
    }

    private void relayToZone(ConfigurationUpdate update) {
        for (Member member : view.members()) {
            if (member.zone().equals(options.self.zone()) && !member.id().equals(options.self.id())) {
                link.send(member.id(), update);
            }
        }
    }

    /**
     * Decides whether this host watches the store. In each availability zone only the live member with the lowest
     * identifier does, and relays the changes to the others. A host that is not a member always watches.
     */
    private void electWatcher() {
        Duration silence = options.heartbeatInterval.multipliedBy(WATCHER_SILENCE_HEARTBEATS);
        Optional<MemberId> first = view.members().stream()
                .filter(member -> member.zone().equals(options.self.zone()))
                .map(Member::id)
                .filter(id -> id.equals(options.self.id()) || leases.heardWithin(id, silence))
                .min(Comparator.naturalOrder());
        boolean isMember = view.contains(options.self.id());
        follower.setWatching(!isMember || first.isEmpty() || first.get().equals(options.self.id()));
    }

    private void requestMissingChanges() {
        long now = clock.monotonicNanos();
        if (!follower.isLoaded() || now - lastGapRequestNanos < GAP_REQUEST_INTERVAL.toNanos()) {
            return;
        }
        leases.newerPeer().ifPresent(peer -> {
            lastGapRequestNanos = now;
            telemetry.event(EventCode.CONFIGURATION_GAP, "peer=" + peer + " revision=" + follower.revision());
            link.send(peer, new PeerMessage.SnapshotRequest(follower.revision()));
        });
    }

    private void removeSilentMember() {
        Duration silence = Duration.ofNanos(options.times.granterNanos()).multipliedBy(REMOVAL_SILENCE_PROMISE_TIMES);
        if (leaving || clock.monotonicNanos() - viewAppliedNanos < silence.toNanos()) {
            return;
        }
        Set<MemberId> silent = new HashSet<>();
        for (Member member : view.members()) {
            if (!member.id().equals(options.self.id()) && !leases.heardWithin(member.id(), silence)) {
                silent.add(member.id());
            }
        }
        if (isFirstLiveMember(view.members(), silent)) {
            silent.stream().min(Comparator.naturalOrder()).ifPresent(this::remove);
        }
    }

    /** Returns whether this host has the lowest identifier of the members that are not silent. */
    private boolean isFirstLiveMember(List<Member> all, Set<MemberId> silent) {
        return all.stream()
                .map(Member::id)
                .filter(id -> !silent.contains(id))
                .min(Comparator.naturalOrder())
                .filter(options.self.id()::equals)
                .isPresent();
    }

    private void remove(MemberId id) {
        // A host without promises of a majority of the remaining members may itself be the disconnected one.
        if (leases.remainingNanos(view.withoutMember(id)) <= 0) {
            return;
        }
        editor.tryRemove(view, id).thenAccept(removed -> {
            if (removed) {
                telemetry.event(EventCode.MEMBER_REMOVED, "member=" + id);
            }
        });
    }

    /** Leaves the members record; completes when this host is removed or the timeout passes, whichever is first. */
    public CompletionStage<Void> leave(Duration timeout) {
        leaving = true;
        CompletableFuture<Void> completion = new CompletableFuture<>();
        scheduler.schedule(timeout, () -> completion.complete(null));
        tryLeave(completion);
        return completion;
    }

    private void tryLeave(CompletableFuture<Void> completion) {
        if (completion.isDone() || closed) {
            return;
        }
        if (!view.contains(options.self.id())) {
            completion.complete(null);
            return;
        }
        editor.tryRemove(view, options.self.id()).thenAccept(removed -> {
            if (removed) {
                telemetry.event(EventCode.MEMBER_LEFT, "epoch=" + view.epoch());
                completion.complete(null);
            } else {
                scheduler.schedule(LEAVE_RETRY_DELAY, () -> tryLeave(completion));
            }
        });
    }

    @Override
    public void close() {
        closed = true;
    }
}
