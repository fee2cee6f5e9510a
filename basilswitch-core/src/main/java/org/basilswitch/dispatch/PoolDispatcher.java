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

/**
 * Starts the waiting requests of one pool. Each start acquires a unit of the team's limit and a server slot; the {@link
 * AttemptRunner} then claims the idempotency key and offers the attempt to the observer.
 */
final class PoolDispatcher {
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(20);
    private static final double URGENT_RESERVE_RATIO = 0.1;
    private static final Duration PREEMPT_INTERVAL = Duration.ofMillis(200);

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
    private long lastPreemptNanos = Long.MIN_VALUE;
    private Optional<Scheduler.Timer> dispatchTimer = Optional.empty();
    private boolean dispatchScheduled;

    PoolDispatcher(
            String pool,
            BrokerContext context,
            RequestCompleter requestCompleter,
            Invariants invariants,
            ToDoubleFunction<String> weightOf) {
        this.pool = pool;
        this.context = context;
        this.requestCompleter = requestCompleter;
        this.invariants = invariants;
        this.shares =
                PoolShares.create(pool, context.self(), context.members(), context.clock(), context.usage(), weightOf);
        this.servers = PoolServers.create(
                pool,
                context.self().zone(),
                context.placementPolicy(),
                context.clock(),
                context.random(),
                context.liveHosts(),
                context.telemetry());
        this.waitingQueue = new PoolWaitingQueue(shares, weightOf);
        this.runner = new AttemptRunner(pool, context, requestCompleter, invariants, shares, servers, this);
    }

    /** Queues a request, or refuses it when no server is eligible, the deadline cannot be met or the queue is full. */
    void enqueueOrRefuse(Request request) {
        refresh();
        if (servers.eligibleHosts().isEmpty()) {
            requestCompleter.refuse(request, Refusal.Code.NO_SERVER, Duration.ZERO);
            return;
        }
        Duration wait = waitingQueue.expectedWait(request);
        Duration needed = wait.plus(shares.serviceTimes().minTimeToStart(request.totalTime()));
        if (needed.compareTo(request.remaining(context.clock().monotonicNanos())) > 0) {
            requestCompleter.refuse(request, Refusal.Code.OVERLOADED, wait);
            return;
        }
        Optional<Request> toEvict = waitingQueue.selectForEviction(request);
        toEvict.ifPresent(evicted -> evict(evicted, wait));
        if (!request.ended()) {
            enqueue(request);
        }
    }

    private void evict(Request evicted, Duration wait) {
        waitingQueue.remove(evicted);
        requestCompleter.refuse(evicted, Refusal.Code.QUEUE_FULL, wait);
    }

    private void enqueue(Request request) {
        waitingQueue.add(request);
        context.telemetry().count(CounterCode.REQUESTS_ACCEPTED, request.queue().name());
        dispatchWaiting();
        if (request.state() == Request.State.WAITING) {
            scheduleExpiry(request);
        }
    }

    private void scheduleExpiry(Request request) {
        Duration remaining = request.remaining(context.clock().monotonicNanos())
                .minus(shares.serviceTimes().minTimeToStart(request.totalTime()));
        Duration delay = remaining.isNegative() ? Duration.ZERO : remaining;
        request.setExpiryTimer(context.scheduler().schedule(delay, () -> expire(request)));
    }

    private void expire(Request request) {
        if (!waitingQueue.remove(request)) {
            return;
        }
        boolean atLimit = shares.isAtLimit(request.team());
        if (!atLimit) {
            shares.recordExpiredWait(request.team());
        }
        Refusal.Code code = atLimit ? Refusal.Code.TEAM_LIMIT : Refusal.Code.DEADLINE;
        requestCompleter.refuse(request, code, waitingQueue.expectedWait(request));
    }

    /** Queues a request for another attempt after a delay. */
    void retry(Request request, Duration delay) {
        request.setState(Request.State.BACKING_OFF);
        context.scheduler().schedule(delay, () -> requeue(request));
    }

    private void requeue(Request request) {
        if (request.ended()) {
            return;
        }
        if (request.cancelled()) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
            return;
        }
        Duration remaining = request.remaining(context.clock().monotonicNanos());
        if (remaining.compareTo(shares.serviceTimes().minTimeToStart(request.totalTime())) <= 0) {
            requestCompleter.refuse(request, Refusal.Code.DEADLINE, Duration.ZERO);
            return;
        }
        waitingQueue.addFirst(request);
        scheduleExpiry(request);
        dispatchWaiting();
    }

    /**
     * Cancels a request whose caller has disconnected. A waiting request is refused at once; a running attempt is ended
     * by the component that serves the caller.
     */
    void cancel(Request request) {
        request.cancel();
        if (waitingQueue.remove(request)) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
        }
    }

    /** Schedules the start of waiting requests in a later turn of the event loop, unless it is already scheduled. */
    void scheduleDispatch() {
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            context.scheduler().schedule(Duration.ZERO, this::dispatchWaiting);
        }
    }

    private void refresh() {
        SiteConfiguration configuration = context.configuration().get();
        servers.update(configuration.hostsOf(pool));
        shares.advance(servers.eligibleHosts());
        if (configuration.revision() != checkedRevision) {
            checkedRevision = configuration.revision();
            refuseNoLongerAllowed(configuration);
        }
    }

    private void refuseNoLongerAllowed(SiteConfiguration configuration) {
        for (Request request : waitingQueue.fairQueue().all()) {
            Either<Refusal.Code, Queue> result = checkAllowed(configuration, request);
            if (result.isLeft()) {
                waitingQueue.remove(request);
                requestCompleter.refuse(request, result.getLeft());
            }
        }
    }

    /**
     * Returns the queue of a previously admitted request, or the reason why the configuration no longer allows the
     * request.
     */
    static Either<Refusal.Code, Queue> checkAllowed(SiteConfiguration configuration, Request request) {
        Queue queue = configuration.queues().get(request.spec().queue());
        if (queue == null) {
            return Either.left(Refusal.Code.QUEUE_UNKNOWN);
        }
        return KeyAuthenticator.teamOf(configuration, queue, request.keyHash()).map(team -> queue);
    }

    private void dispatchWaiting() {
        dispatchScheduled = false;
        if (waitingQueue.size() == 0) {
            return;
        }
        refresh();
        if (!context.servingLease().mayStartWork()) {
            refuseAll(Refusal.Code.STALE);
            return;
        }
        while (tryStartNext()) {
            // tryStartNext starts one request per call
        }
        preemptForUrgent();
        scheduleNextDispatch();
    }

    private void refuseAll(Refusal.Code code) {
        for (Request request : waitingQueue.fairQueue().all()) {
            waitingQueue.remove(request);
            requestCompleter.refuse(request, code, Duration.ZERO);
        }
    }

    private boolean tryStartNext() {
        if (waitingQueue.size() == 0) {
            return false;
        }
        Optional<Host> server = servers.choose(Set.of(), shares.caps());
        if (server.isEmpty()) {
            return false;
        }
        Optional<Request> taken = waitingQueue.fairQueue().take(this::tryAcquireUnit, this::sortKey);
        if (taken.isEmpty()) {
            return false;
        }
        Request request = taken.get();
        waitingQueue.onTaken(request);
        Optional<Host> target = request.failedServers().contains(server.get().name())
                ? servers.choose(request.failedServers(), shares.caps())
                : server;
        if (target.isEmpty() && hasUntriedServer(request)) {
            context.limits().release(request.team());
            retry(request, DISPATCH_INTERVAL);
            return true;
        }
        request.cancelExpiry();
        start(request, target.orElse(server.get()));
        return true;
    }

    private boolean hasUntriedServer(Request request) {
        return servers.eligibleHosts().stream()
                .anyMatch(host -> !request.failedServers().contains(host.name()));
    }

    private boolean tryAcquireUnit(Request request) {
        if (request.priority() == RequestSpec.Priority.BACKGROUND && backgroundInFlight >= maxBackgroundInFlight()) {
            return false;
        }
        if (context.limits().tryAcquire(request.team())) {
            return true;
        }
        shares.markAtLimit(request.team());
        return false;
    }

    private int maxBackgroundInFlight() {
        int slots = shares.slots();
        int reserve = (int) Math.ceil(URGENT_RESERVE_RATIO * slots);
        return slots == 0 ? 1 : Math.max(1, slots - reserve);
    }

    private double sortKey(Request request) {
        return switch (context.sharePolicy()) {
            case SharePolicy.Fifo fifo -> request.arrivedNanos();
            case SharePolicy.Weighted weighted -> shares.virtualTime(request.team());
        };
    }

    private void start(Request request, Host server) {
        shares.recordStartAfterWait(request.team());
        CapacityReservation reservation =
                CapacityReservation.reserve(request.team(), server, context.limits(), shares, servers, invariants);
        if (request.priority() == RequestSpec.Priority.BACKGROUND) {
            backgroundInFlight++;
        }
        runner.start(request, reservation);
    }

    /**
     * Updates the count of background requests after an attempt has released its slot, and schedules further starts.
     */
    void onSlotFreed(Request request) {
        if (request.priority() == RequestSpec.Priority.BACKGROUND) {
            backgroundInFlight--;
        }
        scheduleDispatch();
    }

    private void preemptForUrgent() {
        int urgentRequests = waitingQueue.fairQueue().size(RequestSpec.Priority.URGENT);
        long now = context.clock().monotonicNanos();
        boolean recentlyPreempted =
                lastPreemptNanos != Long.MIN_VALUE && now - lastPreemptNanos < PREEMPT_INTERVAL.toNanos();
        if (urgentRequests == 0 || recentlyPreempted) {
            return;
        }
        lastPreemptNanos = now;
        context.telemetry().event(EventCode.URGENT_WAITING, "pool=" + pool + " requests=" + urgentRequests);
        context.backgroundPreemptor().preempt(pool, urgentRequests);
    }

    private void scheduleNextDispatch() {
        dispatchTimer.ifPresent(Scheduler.Timer::cancel);
        dispatchTimer = Optional.empty();
        if (waitingQueue.size() > 0) {
            Duration next = servers.timeToNextBackoffEnd()
                    .filter(delay -> delay.compareTo(DISPATCH_INTERVAL) < 0)
                    .orElse(DISPATCH_INTERVAL);
            dispatchTimer = Optional.of(context.scheduler().schedule(next, this::dispatchWaiting));
        }
    }
}
