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

/** This entry host's allotments: takes free units, hands idle ones to peers that ask, reclaims those of the departed. */
public final class AllotmentService implements TeamLimits, AutoCloseable {
    private static final int WRITES_PER_SECOND = 20;
    private static final int WRITE_BURST = 20;
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    private static final Duration COOL_DOWN = Duration.ofMillis(20);
    private static final Duration UNKNOWN_DELAY = Duration.ofMillis(200);
    private static final Duration OWED_TIME = Duration.ofSeconds(2);

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
    private final Set<String> working = new HashSet<>();
    private final Set<String> again = new HashSet<>();
    private final List<Consumer<String>> listeners = new ArrayList<>();
    private long memberships;
    private boolean member;
    private boolean surrendering;
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
        this.writeRateLimiter = new WriteRateLimiter(clock, WRITES_PER_SECOND, WRITE_BURST);
    }

    /** Creates a service that holds no units yet. */
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
            // Queues open to all run requests of no team, which no limit counts.
            allotment.startUncounted(clock.monotonicNanos());
            return true;
        }
        if (allotment.tryAcquire(record.limitTasks(), clock.monotonicNanos())) {
            return true;
        }
        work(team);
        return false;
    }

    private TeamAllotment allotment(String team) {
        return teams.computeIfAbsent(team, name -> new TeamAllotment(name, self));
    }

    @Override
    public void release(String team) {
        TeamAllotment allotment = allotment(team);
        allotment.release();
        boolean owes = allotment.owed(clock.monotonicNanos()) > 0;
        if (owes || allotment.aboveLimit() || surrendering) {
            work(team);
        }
        announce(team);
    }

    @Override
    public void onAvailable(Consumer<String> listener) {
        listeners.add(listener);
    }

    @Override
    public int allotted(String team) {
        return teams.containsKey(team) ? teams.get(team).allotted() : 0;
    }

    private void announce(String team) {
        if (!closed) {
            scheduler.schedule(Duration.ZERO, () -> listeners.forEach(listener -> listener.accept(team)));
        }
    }

    /** Takes in a changed members record: units are read again after this host was out of it. */
    public void onMembersChanged() {
        boolean now = membership.view().contains(self);
        if (!now && member) {
            memberships++;
            telemetry.event(EventCode.LIMIT_RESET, "teams=" + teams.size());
            teams.values().forEach(TeamAllotment::reset);
        }
        member = now;
        if (now) {
            teams.values().stream()
                    .filter(allotment -> !allotment.verified())
                    .forEach(allotment -> work(allotment.team()));
        }
    }

    /** Takes in changed limits. */
    public void onConfigurationChanged() {
        SiteConfiguration current = configuration.get();
        for (TeamAllotment allotment : List.copyOf(teams.values())) {
            Team team = current.teams().get(allotment.team());
            if (team != null
                    && allotment.read()
                    && team.limitTasks() != allotment.record().limitUnits()) {
                allotment.reread();
                work(allotment.team());
            }
        }
    }

    /** Gives all idle units back, before this host leaves. */
    public void releaseAllUnits() {
        surrendering = true;
        List.copyOf(teams.keySet()).forEach(this::work);
    }

    /** Whether there is nothing left to give back. */
    public boolean hasReleasedAllUnits() {
        return teams.values().stream().allMatch(allotment -> allotment.allotted() == 0);
    }

    /** Handles a peer's message of this slice; false when it belongs to another. */
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
        int surplus = (allotment.allotted() - allotment.record().unitsOf(from)) / 2;
        int fair = allotment.longIdle(now) > 0 ? allotment.longIdle(now) : surplus;
        int count = Math.min(request.wantedUnits(), fair);
        if (count > 0 && allotment.owed(now) == 0) {
            allotment.owe(from, count, now + OWED_TIME.toNanos());
            work(request.team());
        }
    }

    private void onNotice(AllotmentNotice notice) {
        TeamAllotment allotment = teams.get(notice.team());
        if (allotment != null && allotment.verified() && allotment.onUnits(notice.revision(), notice.units())) {
            announce(notice.team());
        }
    }

    /** Does what a team's allotment needs now; once at a time for each team. */
    private void work(String team) {
        if (closed || !member) {
            return;
        }
        if (!working.add(team)) {
            again.add(team);
            return;
        }
        if (allotment(team).read()) {
            scheduler.schedule(Duration.ZERO, () -> step(team));
        } else {
            read(team);
        }
    }

    private void done(String team, Optional<Duration> repeatAfter) {
        scheduler.schedule(COOL_DOWN, () -> {
            working.remove(team);
            if (again.remove(team)) {
                work(team);
            }
        });
        repeatAfter.ifPresent(delay -> scheduler.schedule(delay, () -> work(team)));
    }

    private void read(String team) {
        TeamAllotment allotment = allotment(team);
        long membership = memberships;
        store.get(keys.allotment(team)).thenAccept(result -> {
            if (result.isLeft()) {
                failed(team, result.getLeft());
                return;
            }
            take(allotment, result.get());
            if (membership == memberships) {
                allotment.verify();
            } else {
                allotment.reread();
            }
            announce(team);
            step(team);
        });
    }

    private void take(TeamAllotment allotment, Optional<PlatformStore.Entry> entry) {
        long revision = entry.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
        AllotmentRecord record =
                entry.flatMap(found -> AllotmentRecord.decode(found.value())).orElse(AllotmentRecord.empty());
        if (allotment.onRecord(revision, record) && allotment.verified()) {
            announce(allotment.team());
        }
    }

    private void failed(String team, StoreError error) {
        telemetry.event(EventCode.LIMIT_STORE_FAILED, "team=" + team + " " + error);
        done(team, Optional.of(RETRY_DELAY));
    }

    private void step(String team) {
        TeamAllotment allotment = allotment(team);
        if (closed || !member) {
            done(team, Optional.empty());
            return;
        }
        if (!allotment.read()) {
            read(team);
            return;
        }
        departedMembers.note(allotment.record());
        AllotmentPlan plan = plan(allotment);
        if (plan.next().equals(allotment.record())) {
            askPeers(allotment);
            boolean wanting = allotment.wanted(clock.monotonicNanos()) > 0;
            done(team, wanting ? Optional.of(RETRY_DELAY) : Optional.empty());
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
                departedMembers.reclaim(allotment.record()),
                new AllotmentPlan.Situation(
                        team.map(Team::limitTasks),
                        configuration.get().revision(),
                        membership.view().members().size(),
                        membership.viewRevision(),
                        surrendering,
                        clock.monotonicNanos()));
    }

    private void askPeers(TeamAllotment allotment) {
        int wanted = allotment.wanted(clock.monotonicNanos());
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
        Transaction transaction = plan.transaction(keys, allotment);
        store.commit(transaction).thenAccept(result -> {
            if (result.isRight()) {
                telemetry.count(
                        CounterCode.LIMIT_COMMITS,
                        result.get() instanceof CommitResult.Committed ? "committed" : "conflict");
                settled(allotment, plan, result.get());
            } else if (result.getLeft() instanceof StoreError.Refused refused) {
                telemetry.count(CounterCode.LIMIT_COMMITS, "refused");
                allotment.endRelease(plan.releasedUnits());
                failed(allotment.team(), refused);
            } else {
                telemetry.count(CounterCode.LIMIT_COMMITS, "unknown");
                scheduler.schedule(UNKNOWN_DELAY, () -> settle(allotment, plan, transaction));
            }
        });
    }

    /**
     * Finds out whether a commit whose answer was lost took effect. Repeating it settles that: the comparison of the
     * record's revision lets only one of the copies take effect.
     */
    private void settle(TeamAllotment allotment, AllotmentPlan plan, Transaction transaction) {
        if (closed) {
            return;
        }
        store.commit(transaction).thenAccept(result -> {
            if (result.isRight()) {
                settled(allotment, plan, result.get());
            } else {
                scheduler.schedule(UNKNOWN_DELAY, () -> settle(allotment, plan, transaction));
            }
        });
    }

    private void settled(TeamAllotment allotment, AllotmentPlan plan, CommitResult result) {
        switch (result) {
            case CommitResult.Committed committed -> onCommitted(allotment, plan, committed.revision());
            case CommitResult.Conflict conflict -> {
                take(allotment, conflict.current().get(0));
                allotment.endRelease(plan.releasedUnits());
                step(allotment.team());
            }
        }
    }

    private void onCommitted(TeamAllotment allotment, AllotmentPlan plan, long revision) {
        boolean grew = allotment.onRecord(revision, plan.next());
        allotment.endRelease(plan.releasedUnits());
        allotment.paid(plan.handedUnits());
        plan.receiver()
                .ifPresent(peer -> link.send(
                        peer,
                        new AllotmentNotice(
                                allotment.team(), revision, plan.next().unitsOf(peer))));
        if (plan.reclaimed()) {
            telemetry.event(EventCode.LIMIT_RECLAIMED, "team=" + allotment.team());
        }
        if (grew) {
            allotment.clearWanted();
            announce(allotment.team());
        }
        step(allotment.team());
    }

    @Override
    public void close() {
        closed = true;
    }
}
