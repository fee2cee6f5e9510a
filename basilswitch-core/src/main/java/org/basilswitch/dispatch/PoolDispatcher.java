package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import io.vavr.control.Either;
import org.basilswitch.admission.KeyAuthenticator;
import org.basilswitch.admission.PoolShares;
import org.basilswitch.admission.SharePolicy;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.placement.PoolServers;
import org.basilswitch.time.Scheduler;

/** Starts the waiting requests of one pool: takes a unit and a slot, claims, and hands the attempt to the observer. */
final class PoolDispatcher {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final double RESERVE_PART = 0.1;
    private static final Duration BUSY_REPORT_INTERVAL = Duration.ofMillis(200);

    private final String pool;
    private final BrokerContext context;
    private final RequestCompleter requestCompleter;
    private final Invariants invariants;
    private final PoolShares shares;
    private final PoolServers servers;
    private final PoolWaitingQueue waitingQueue;
    private final AttemptRunner runner;
    private int backgroundInFlight;
    private long checkedRevision = -1;
    private long roomAskedNanos = Long.MIN_VALUE;
    private Optional<Scheduler.Timer> tick = Optional.empty();
    private boolean roundScheduled;

    PoolDispatcher(
            String pool,
            BrokerContext parts,
            RequestCompleter ends,
            Invariants invariants,
            ToDoubleFunction<String> weightOf) {
        this.pool = pool;
        this.context = parts;
        this.requestCompleter = ends;
        this.invariants = invariants;
        this.shares = PoolShares.create(pool, parts.self(), parts.members(), parts.clock(), parts.usage(), weightOf);
        this.servers = PoolServers.create(
                pool,
                parts.self().zone(),
                parts.placementPolicy(),
                parts.clock(),
                parts.random(),
                parts.liveHosts(),
                parts.telemetry());
        this.waitingQueue = new PoolWaitingQueue(shares, weightOf);
        this.runner = new AttemptRunner(pool, parts, ends, invariants, shares, servers, this);
    }

    /** Lets a request wait, or refuses it when it can't be served in time. */
    void enter(Request request) {
        refresh();
        if (servers.serving().isEmpty()) {
            requestCompleter.refuse(request, Refusal.Code.NO_SERVER, Duration.ZERO);
            return;
        }
        Duration wait = waitingQueue.expectedWait(request);
        Duration needed = wait.plus(shares.serviceTimes().needed(request.total()));
        if (needed.compareTo(request.remaining(context.clock().monotonicNanos())) > 0) {
            requestCompleter.refuse(request, Refusal.Code.OVERLOADED, wait);
            return;
        }
        Optional<Request> overflow = waitingQueue.overflow(request);
        overflow.ifPresent(loser -> pushOut(loser, wait));
        if (!request.ended()) {
            waitFor(request);
        }
    }

    private void pushOut(Request loser, Duration wait) {
        waitingQueue.remove(loser);
        requestCompleter.refuse(loser, Refusal.Code.QUEUE_FULL, wait);
    }

    private void waitFor(Request request) {
        waitingQueue.add(request);
        context.telemetry().count(CounterCode.REQUESTS_ACCEPTED, request.queue().name());
        round();
        if (request.state() == Request.State.WAITING) {
            setExpiry(request);
        }
    }

    private void setExpiry(Request request) {
        Duration left = request.remaining(context.clock().monotonicNanos())
                .minus(shares.serviceTimes().needed(request.total()));
        Duration delay = left.isNegative() ? Duration.ZERO : left;
        request.expiry(context.scheduler().schedule(delay, () -> expire(request)));
    }

    private void expire(Request request) {
        if (!waitingQueue.remove(request)) {
            return;
        }
        boolean limited = shares.isBlocked(request.team());
        if (!limited) {
            shares.recordExpiredWait(request.team());
        }
        Refusal.Code code = limited ? Refusal.Code.TEAM_LIMIT : Refusal.Code.DEADLINE;
        requestCompleter.refuse(request, code, waitingQueue.expectedWait(request));
    }

    /** Returns a request for another attempt after a pause. */
    void retry(Request request, Duration pause) {
        request.state(Request.State.BACKING_OFF);
        context.scheduler().schedule(pause, () -> reenter(request));
    }

    private void reenter(Request request) {
        if (request.ended()) {
            return;
        }
        if (request.cancelled()) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
            return;
        }
        Duration left = request.remaining(context.clock().monotonicNanos());
        if (left.compareTo(shares.serviceTimes().needed(request.total())) <= 0) {
            requestCompleter.refuse(request, Refusal.Code.DEADLINE, Duration.ZERO);
            return;
        }
        waitingQueue.putBack(request);
        setExpiry(request);
        round();
    }

    /** Ends a request whose caller has gone away, unless an attempt is under way, which the caller's side ends. */
    void cancel(Request request) {
        request.cancel();
        if (waitingQueue.remove(request)) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
        }
    }

    /** Runs a round of starts in a later turn of the event loop. */
    void scheduleRound() {
        if (!roundScheduled) {
            roundScheduled = true;
            context.scheduler().schedule(Duration.ZERO, this::round);
        }
    }

    private void refresh() {
        SiteConfiguration configuration = context.configuration().get();
        servers.update(configuration.hostsOf(pool));
        shares.advance(servers.serving());
        if (configuration.revision() != checkedRevision) {
            checkedRevision = configuration.revision();
            recheck(configuration);
        }
    }

    private void recheck(SiteConfiguration configuration) {
        for (Request request : waitingQueue.fair().all()) {
            Either<Refusal.Code, Queue> allowed = allowed(configuration, request);
            if (allowed.isLeft()) {
                waitingQueue.remove(request);
                requestCompleter.refuse(request, allowed.getLeft());
            }
        }
    }

    /** Whether configuration still allows a request that was admitted earlier. */
    static Either<Refusal.Code, Queue> allowed(SiteConfiguration configuration, Request request) {
        Queue queue = configuration.queues().get(request.spec().queue());
        if (queue == null) {
            return Either.left(Refusal.Code.QUEUE_UNKNOWN);
        }
        return KeyAuthenticator.teamOf(configuration, queue, request.keyHash()).map(team -> queue);
    }

    private void round() {
        roundScheduled = false;
        if (waitingQueue.size() == 0) {
            return;
        }
        refresh();
        if (!context.servingLease().mayStartWork()) {
            refuseAll(Refusal.Code.STALE);
            return;
        }
        while (startOne()) {
            // each turn starts one request
        }
        askForRoom();
        scheduleTick();
    }

    private void refuseAll(Refusal.Code code) {
        for (Request request : waitingQueue.fair().all()) {
            waitingQueue.remove(request);
            requestCompleter.refuse(request, code, Duration.ZERO);
        }
    }

    private boolean startOne() {
        if (waitingQueue.size() == 0) {
            return false;
        }
        Optional<Host> server = servers.choose(Set.of(), shares.caps());
        if (server.isEmpty()) {
            return false;
        }
        Optional<Request> taken = waitingQueue.fair().take(this::mayTake, this::order);
        if (taken.isEmpty()) {
            return false;
        }
        Request request = taken.get();
        waitingQueue.taken(request);
        Optional<Host> target = request.failedServers().contains(server.get().name())
                ? servers.choose(request.failedServers(), shares.caps())
                : server;
        if (target.isEmpty() && otherServers(request)) {
            context.limits().release(request.team());
            retry(request, TICK);
            return true;
        }
        request.cancelExpiry();
        start(request, target.orElse(server.get()));
        return true;
    }

    private boolean otherServers(Request request) {
        return servers.serving().stream()
                .anyMatch(host -> !request.failedServers().contains(host.name()));
    }

    private boolean mayTake(Request request) {
        if (request.priority() == RequestSpec.Priority.BACKGROUND && backgroundInFlight >= backgroundSlots()) {
            return false;
        }
        if (context.limits().tryAcquire(request.team())) {
            return true;
        }
        shares.block(request.team());
        return false;
    }

    private int backgroundSlots() {
        int slots = shares.slots();
        int reserve = (int) Math.ceil(RESERVE_PART * slots);
        return slots == 0 ? 1 : Math.max(1, slots - reserve);
    }

    private double order(Request request) {
        return switch (context.sharePolicy()) {
            case SharePolicy.Fifo arrival -> request.arrivedNanos();
            case SharePolicy.Weighted weighted -> shares.virtualTime(request.team());
        };
    }

    private void start(Request request, Host server) {
        shares.recordStartAfterWait(request.team());
        CapacityReservation holding =
                CapacityReservation.take(request.team(), server, context.limits(), shares, servers, invariants);
        if (request.priority() == RequestSpec.Priority.BACKGROUND) {
            backgroundInFlight++;
        }
        runner.start(request, holding);
    }

    /** Notes that an attempt has given its slot back. */
    void slotFreed(Request request) {
        if (request.priority() == RequestSpec.Priority.BACKGROUND) {
            backgroundInFlight--;
        }
        scheduleRound();
    }

    private void askForRoom() {
        int urgent = waitingQueue.fair().size(RequestSpec.Priority.URGENT);
        long now = context.clock().monotonicNanos();
        boolean asked = roomAskedNanos != Long.MIN_VALUE && now - roomAskedNanos < BUSY_REPORT_INTERVAL.toNanos();
        if (urgent == 0 || asked) {
            return;
        }
        roomAskedNanos = now;
        context.telemetry().event(EventCode.URGENT_WAITING, "pool=" + pool + " requests=" + urgent);
        context.backgroundPreemptor().preempt(pool, urgent);
    }

    private void scheduleTick() {
        tick.ifPresent(Scheduler.Timer::cancel);
        tick = Optional.empty();
        if (waitingQueue.size() > 0) {
            Duration next =
                    servers.nextChange().filter(d -> d.compareTo(TICK) < 0).orElse(TICK);
            tick = Optional.of(context.scheduler().schedule(next, this::round));
        }
    }
}
