package org.basilswitch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Membership;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerLink;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.PeerMessage.AllotmentNotice;
import org.basilswitch.peer.PeerMessage.AllotmentRequest;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Manages this entry host's allotments of the teams' upper limits: takes free units, transfers idle units to peers that
 * request them and reclaims the units of departed members.
 */
public final class AllotmentService implements TeamLimits, AutoCloseable {
    private static final int WRITES_PER_SECOND = 20;
    private static final int BURST_WRITES = 20;
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    /** Shortest time between two updates of a team's record by this host. */
    private static final Duration UPDATE_COOL_DOWN = Duration.ofMillis(20);
    /** Delay before a commit with an unknown result is repeated. */
    private static final Duration UNKNOWN_RETRY_DELAY = Duration.ofMillis(200);
    /** Time after which units reserved for a peer may be used here again. */
    private static final Duration RESERVATION_TIME = Duration.ofSeconds(2);

    private final MemberId self;
    private final StoreKeys keys;
    private final PlatformStore store;
    private final Clock clock;
    private final Scheduler scheduler;
    private final PeerLink link;
    private final Membership membership;
    private final Supplier<SiteConfiguration> configuration;
    private final Telemetry telemetry;
    private final DepartedMembers departedMembers;
    private final WriteRateLimiter writeRateLimiter;
    private final Map<String, TeamAllotment> teams = new HashMap<>();
    private final Set<String> updating = new HashSet<>();
    private final Set<String> updateRequested = new HashSet<>();
    private final List<Consumer<String>> listeners = new ArrayList<>();
    private long membershipLosses;
    private boolean isMember;
    private boolean releasingAll;
    private boolean closed;

    private AllotmentService(
            MemberId self,
            StoreKeys keys,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            PeerLink link,
            Membership membership,
            Supplier<SiteConfiguration> configuration,
            Telemetry telemetry) {
        this.self = self;
        this.keys = keys;
        this.store = store;
        this.clock = clock;
        this.scheduler = scheduler;
        this.link = link;
        this.membership = membership;
        this.configuration = configuration;
        this.telemetry = telemetry;
        this.departedMembers = new DepartedMembers(
                membership, clock, () -> MaxRequestTime.of(configuration.get()).reclaimDelay());
        this.writeRateLimiter = new WriteRateLimiter(clock, WRITES_PER_SECOND, BURST_WRITES);
    }

    /** Creates a service without units; it takes them when requests need them. */
    public static AllotmentService create(
            MemberId self,
            StoreKeys keys,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            PeerLink link,
            Membership membership,
            Supplier<SiteConfiguration> configuration,
            Telemetry telemetry) {
        return new AllotmentService(self, keys, store, clock, scheduler, link, membership, configuration, telemetry);
    }

    @Override
    public boolean tryAcquire(String team) {
        TeamAllotment allotment = allotment(team);
        Team record = configuration.get().teams().get(team);
        if (record == null) {
            // A queue that is open to all accepts requests without a team, to which no limit applies.
            allotment.addRunning(clock.monotonicNanos());
            return true;
        }
        if (allotment.tryAcquire(record.limitTasks(), clock.monotonicNanos())) {
            return true;
        }
        requestUpdate(team);
        return false;
    }

    private TeamAllotment allotment(String team) {
        return teams.computeIfAbsent(team, name -> new TeamAllotment(name, self));
    }

    @Override
    public void release(String team) {
        TeamAllotment allotment = allotment(team);
        allotment.release();
        boolean hasReservation = allotment.reservedUnits(clock.monotonicNanos()) > 0;
        if (hasReservation || allotment.isAboveLimit() || releasingAll) {
            requestUpdate(team);
        }
        notifyListeners(team);
    }

    @Override
    public void onAvailable(Consumer<String> listener) {
        listeners.add(listener);
    }

    @Override
    public int allottedUnits(String team) {
        return teams.containsKey(team) ? teams.get(team).allottedUnits() : 0;
    }

    private void notifyListeners(String team) {
        if (!closed) {
            scheduler.schedule(Duration.ZERO, () -> listeners.forEach(listener -> listener.accept(team)));
        }
    }

    /** Applies a changed members record; after this host was not a member its units are read again before use. */
    public void onMembersChanged() {
        boolean isMemberNow = membership.view().contains(self);
        if (!isMemberNow && isMember) {
            membershipLosses++;
            telemetry.event(EventCode.LIMIT_RESET, "teams=" + teams.size());
            teams.values().forEach(TeamAllotment::reset);
        }
        isMember = isMemberNow;
        if (isMemberNow) {
            teams.values().stream()
                    .filter(allotment -> !allotment.isVerified())
                    .forEach(allotment -> requestUpdate(allotment.team()));
        }
    }

    /** Applies changed limits: reads the records of the teams concerned again and updates them. */
    public void onConfigurationChanged() {
        SiteConfiguration current = configuration.get();
        for (TeamAllotment allotment : List.copyOf(teams.values())) {
            Team team = current.teams().get(allotment.team());
            if (team != null
                    && allotment.isRecordRead()
                    && team.limitTasks() != allotment.record().limitUnits()) {
                allotment.requireRead();
                requestUpdate(allotment.team());
            }
        }
    }

    /** Releases all idle units, and busy units as they become idle; called before this host leaves. */
    public void releaseAllUnits() {
        releasingAll = true;
        List.copyOf(teams.keySet()).forEach(this::requestUpdate);
    }

    /** Returns whether this host has no units that it may use. */
    public boolean hasReleasedAllUnits() {
        return teams.values().stream().allMatch(allotment -> allotment.allottedUnits() == 0);
    }

    /** Handles a peer's allotment message; returns false when the message belongs to another component. */
    public boolean receive(MemberId from, PeerMessage message) {
        switch (message) {
            case AllotmentRequest request -> onRequest(from, request);
            case AllotmentNotice notice -> onNotice(notice);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onRequest(MemberId from, AllotmentRequest request) {
        TeamAllotment allotment = teams.get(request.team());
        if (allotment == null || closed || !membership.view().contains(from)) {
            return;
        }
        long now = clock.monotonicNanos();
        int surplus = (allotment.allottedUnits() - allotment.record().unitsOf(from)) / 2;
        int offered = allotment.unusedUnits(now) > 0 ? allotment.unusedUnits(now) : surplus;
        int count = Math.min(request.wantedUnits(), offered);
        if (count > 0 && allotment.reservedUnits(now) == 0) {
            allotment.reserveForPeer(from, count, now + RESERVATION_TIME.toNanos());
            requestUpdate(request.team());
        }
    }

    private void onNotice(AllotmentNotice notice) {
        TeamAllotment allotment = teams.get(notice.team());
        if (allotment != null && allotment.isVerified() && allotment.onUnits(notice.revision(), notice.units())) {
            notifyListeners(notice.team());
        }
    }

    /** Starts an update of a team's allotment; while one is under way, another is run after it. */
    private void requestUpdate(String team) {
        if (closed || !isMember) {
            return;
        }
        if (!updating.add(team)) {
            updateRequested.add(team);
            return;
        }
        if (allotment(team).isRecordRead()) {
            scheduler.schedule(Duration.ZERO, () -> update(team));
        } else {
            readRecord(team);
        }
    }

    private void finishUpdate(String team, Optional<Duration> repeatAfter) {
        scheduler.schedule(UPDATE_COOL_DOWN, () -> {
            updating.remove(team);
            if (updateRequested.remove(team)) {
                requestUpdate(team);
            }
        });
        repeatAfter.ifPresent(delay -> scheduler.schedule(delay, () -> requestUpdate(team)));
    }

    private void readRecord(String team) {
        TeamAllotment allotment = allotment(team);
        long lossesBeforeRead = membershipLosses;
        store.get(keys.allotment(team)).thenAccept(result -> {
            if (result.isLeft()) {
                onStoreError(team, result.getLeft());
                return;
            }
            applyEntry(allotment, result.get());
            if (lossesBeforeRead == membershipLosses) {
                allotment.markVerified();
            } else {
                allotment.requireRead();
            }
            notifyListeners(team);
            update(team);
        });
    }

    private void applyEntry(TeamAllotment allotment, Optional<PlatformStore.Entry> entry) {
        long revision = entry.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
        AllotmentRecord record =
                entry.flatMap(found -> AllotmentRecord.decode(found.value())).orElse(AllotmentRecord.empty());
        if (allotment.onRecord(revision, record) && allotment.isVerified()) {
            notifyListeners(allotment.team());
        }
    }

    private void onStoreError(String team, StoreError error) {
        telemetry.event(EventCode.LIMIT_STORE_FAILED, "team=" + team + " " + error);
        finishUpdate(team, Optional.of(RETRY_DELAY));
    }

    private void update(String team) {
        TeamAllotment allotment = allotment(team);
        if (closed || !isMember) {
            finishUpdate(team, Optional.empty());
            return;
        }
        if (!allotment.isRecordRead()) {
            readRecord(team);
            return;
        }
        departedMembers.recordDepartures(allotment.record());
        AllotmentPlan plan = plan(allotment);
        if (plan.next().equals(allotment.record())) {
            requestUnitsFromPeers(allotment);
            boolean wantsUnits = allotment.wantedUnits(clock.monotonicNanos()) > 0;
            finishUpdate(team, wantsUnits ? Optional.of(RETRY_DELAY) : Optional.empty());
            return;
        }
        allotment.beginRelease(plan.releasedUnits());
        scheduler.schedule(writeRateLimiter.reserve(), () -> commit(allotment, plan));
    }

    private AllotmentPlan plan(TeamAllotment allotment) {
        Optional<Team> team = Optional.ofNullable(configuration.get().teams().get(allotment.team()));
        return AllotmentPlan.of(
                allotment,
                self,
                departedMembers.withoutReclaimable(allotment.record()),
                new AllotmentPlan.PlanInputs(
                        team.map(Team::limitTasks),
                        configuration.get().revision(),
                        membership.view().members().size(),
                        membership.viewRevision(),
                        releasingAll,
                        clock.monotonicNanos()));
    }

    private void requestUnitsFromPeers(TeamAllotment allotment) {
        int wanted = allotment.wantedUnits(clock.monotonicNanos());
        if (wanted == 0) {
            return;
        }
        for (String id : allotment.record().units().keySet()) {
            MemberId peer = new MemberId(id);
            if (!peer.equals(self) && membership.view().contains(peer)) {
                link.send(peer, new AllotmentRequest(allotment.team(), wanted));
            }
        }
    }

    private void commit(TeamAllotment allotment, AllotmentPlan plan) {
        if (closed) {
            return;
        }
        Transaction transaction = plan.toTransaction(keys, allotment);
        store.commit(transaction).thenAccept(result -> {
            if (result.isRight()) {
                telemetry.count(
                        CounterCode.LIMIT_COMMITS,
                        result.get() instanceof CommitResult.Committed ? "committed" : "conflict");
                onCommitResult(allotment, plan, result.get());
            } else if (result.getLeft() instanceof StoreError.Refused refused) {
                telemetry.count(CounterCode.LIMIT_COMMITS, "refused");
                allotment.endRelease(plan.releasedUnits());
                onStoreError(allotment.team(), refused);
            } else {
                telemetry.count(CounterCode.LIMIT_COMMITS, "unknown");
                scheduler.schedule(UNKNOWN_RETRY_DELAY, () -> resolveUnknownCommit(allotment, plan, transaction));
            }
        });
    }

    /**
     * Repeats a commit with an unknown result until the store answers. The repetition is idempotent, because the
     * comparison with the record's revision lets only one of the copies take effect.
     */
    private void resolveUnknownCommit(TeamAllotment allotment, AllotmentPlan plan, Transaction transaction) {
        if (closed) {
            return;
        }
        store.commit(transaction).thenAccept(result -> {
            if (result.isRight()) {
                onCommitResult(allotment, plan, result.get());
            } else {
                scheduler.schedule(UNKNOWN_RETRY_DELAY, () -> resolveUnknownCommit(allotment, plan, transaction));
            }
        });
    }

    private void onCommitResult(TeamAllotment allotment, AllotmentPlan plan, CommitResult result) {
        switch (result) {
            case CommitResult.Committed committed -> onCommitted(allotment, plan, committed.revision());
            case CommitResult.Conflict conflict -> {
                applyEntry(allotment, conflict.current().get(0));
                allotment.endRelease(plan.releasedUnits());
                update(allotment.team());
            }
        }
    }

    private void onCommitted(TeamAllotment allotment, AllotmentPlan plan, long revision) {
        boolean grew = allotment.onRecord(revision, plan.next());
        allotment.endRelease(plan.releasedUnits());
        allotment.reduceReservation(plan.transferredUnits());
        plan.receiver()
                .ifPresent(peer -> link.send(
                        peer,
                        new AllotmentNotice(
                                allotment.team(), revision, plan.next().unitsOf(peer))));
        if (plan.reclaimed()) {
            telemetry.event(EventCode.LIMIT_RECLAIMED, "team=" + allotment.team());
        }
        if (grew) {
            allotment.clearWantedUnits();
            notifyListeners(allotment.team());
        }
        update(allotment.team());
    }

    @Override
    public void close() {
        closed = true;
    }
}
