package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.vavr.control.Either;
import org.basilswitch.admission.PoolShares;
import org.basilswitch.configuration.Queue;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.placement.PoolServers;

/**
 * Claims and attempts of one pool's requests, and what follows from their ends.
 *
 * <p>A request is tried again only when it has certainly not run, or is idempotent. After the first byte of a
 * non-idempotent request may have left, no further attempt is made, unless the server has certainly refused to start it.
 */
final class AttemptRunner implements RequestAttempt.Listener {
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofSeconds(1);
    private static final int ATTEMPT_SERVICE_TIMES = 10;
    private static final int SLOW_SERVICE_TIMES = 5;
    private static final int SET_ASIDE_SERVERS = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_BUSY_REFUSALS = 50;
    private static final long RETRY_PAUSE_NANOS = 10_000_000;
    private static final int FIRST_SERVER_ERROR = 500;

    private final String pool;
    private final BrokerContext context;
    private final RequestCompleter requestCompleter;
    private final Invariants invariants;
    private final PoolShares shares;
    private final PoolServers servers;
    private final PoolDispatcher dispatcher;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    AttemptRunner(
            String pool,
            BrokerContext parts,
            RequestCompleter ends,
            Invariants invariants,
            PoolShares shares,
            PoolServers servers,
            PoolDispatcher dispatcher) {
        this.pool = pool;
        this.context = parts;
        this.requestCompleter = ends;
        this.invariants = invariants;
        this.shares = shares;
        this.servers = servers;
        this.dispatcher = dispatcher;
    }

    /** Starts a request that holds a unit and a slot. */
    void start(Request request, CapacityReservation holding) {
        if (!request.needsClaim()) {
            attempt(request, holding);
            return;
        }
        request.state(Request.State.CLAIMING);
        Duration left = remaining(request);
        Duration wait = left.compareTo(MAX_CLAIM_WAIT) < 0 ? left : MAX_CLAIM_WAIT;
        context.claims()
                .claim(
                        request.queue().name(),
                        request.spec().idempotencyKey().orElseThrow(),
                        Duration.ofMillis(request.queue().claimTimeMs()),
                        wait)
                .whenComplete((result, error) -> claimed(
                        request, holding, error == null ? result : new RequestClaims.Unavailable(error.toString())));
    }

    private void claimed(Request request, CapacityReservation holding, RequestClaims.ClaimResult result) {
        switch (result) {
            case RequestClaims.Granted granted -> {
                request.claimed(true);
                startClaimed(request, holding);
            }
            case RequestClaims.Duplicate duplicate -> drop(request, holding, Refusal.Code.ALREADY_CLAIMED);
            case RequestClaims.Unavailable unavailable -> {
                giveBack(request, holding);
                requestCompleter.refuse(request, Refusal.Code.CLAIM_UNAVAILABLE, Duration.ZERO);
            }
        }
    }

    private void startClaimed(Request request, CapacityReservation holding) {
        if (request.cancelled()) {
            drop(request, holding, Refusal.Code.CALLER_GONE);
        } else if (remaining(request).compareTo(shares.serviceTimes().needed(request.total())) <= 0) {
            drop(request, holding, Refusal.Code.DEADLINE);
        } else if (servers.serves(holding.server())) {
            attempt(request, holding);
        } else {
            giveBack(request, holding);
            dispatcher.retry(request, Duration.ZERO);
        }
    }

    private void drop(Request request, CapacityReservation holding, Refusal.Code code) {
        giveBack(request, holding);
        requestCompleter.refuse(request, code);
    }

    private void giveBack(Request request, CapacityReservation holding) {
        holding.release(PoolServers.Result.NEUTRAL);
        dispatcher.slotFreed(request);
    }

    private void attempt(Request request, CapacityReservation holding) {
        request.state(Request.State.ATTEMPTING);
        int number = request.nextAttempt();
        context.telemetry().count(CounterCode.ATTEMPTS_STARTED, pool);
        request.observer()
                .attempt(new RequestAttempt(request, holding, number, timeoutOf(request), this, context.clock()));
    }

    private Duration timeoutOf(Request request) {
        Duration left = remaining(request);
        Duration mean = shares.serviceTimes().mean();
        if (!request.queue().idempotent() || request.mayHaveRun() || mean.isZero()) {
            return left;
        }
        Duration usual = mean.multipliedBy(ATTEMPT_SERVICE_TIMES);
        Duration limit = usual.compareTo(MIN_ATTEMPT_TIME) < 0 ? MIN_ATTEMPT_TIME : usual;
        return limit.compareTo(left) < 0 ? limit : left;
    }

    private Duration remaining(Request request) {
        return request.remaining(context.clock().monotonicNanos());
    }

    @Override
    public boolean maySend(RequestAttempt attempt) {
        Request request = attempt.request();
        boolean onceOnly = !request.queue().idempotent();
        if (!invariants.check(!(onceOnly && request.mayHaveRun()), "sent-once", "request=" + request.id())) {
            return false;
        }
        if (denial(request).isLeft()) {
            return false;
        }
        request.sent();
        return true;
    }

    private Either<Refusal.Code, Queue> denial(Request request) {
        if (!context.servingLease().mayStartWork()) {
            return Either.left(Refusal.Code.STALE);
        }
        if (remaining(request).isZero()) {
            return Either.left(Refusal.Code.DEADLINE);
        }
        if (request.cancelled()) {
            return Either.left(Refusal.Code.CALLER_GONE);
        }
        return PoolDispatcher.allowed(context.configuration().get(), request);
    }

    @Override
    public void sendDenied(RequestAttempt attempt) {
        Request request = attempt.request();
        Refusal.Code code = denial(request).fold(denied -> denied, queue -> Refusal.Code.ANSWER_LOST);
        drop(request, attempt.reservation(), code);
    }

    @Override
    public void answered(RequestAttempt attempt, int status) {
        Request request = attempt.request();
        if (!invariants.check(attempt.sent(), "answered-after-send", "request=" + request.id())) {
            drop(request, attempt.reservation(), Refusal.Code.RETRIES_EXHAUSTED);
            return;
        }
        boolean success = status < FIRST_SERVER_ERROR;
        attempt.reservation().release(success ? PoolServers.Result.SUCCESS : PoolServers.Result.FAILURE);
        if (success) {
            budget(request).succeeded();
            shares.serviceTimes().record(attempt.elapsedNanos(context.clock().monotonicNanos()));
        }
        requestCompleter.answered(request);
        dispatcher.slotFreed(request);
    }

    @Override
    public void failed(RequestAttempt attempt, Attempt.Failure failure) {
        context.telemetry().count(CounterCode.ATTEMPTS_FAILED, tag(failure));
        Request request = attempt.request();
        switch (failure) {
            case SERVER_BUSY -> busy(attempt);
            case CALLER_GONE -> callerFailed(attempt, Refusal.Code.CALLER_GONE);
            case CALLER_BODY_FAILED -> callerFailed(attempt, Refusal.Code.REQUEST_MALFORMED);
            case CONNECT_REFUSED, CONNECT_TIMEOUT, RESET, ANSWER_TIMEOUT, ANSWER_MALFORMED ->
                serverFailed(attempt, failure);
        }
        dispatcher.slotFreed(request);
    }

    private static String tag(Attempt.Failure failure) {
        return failure.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    private void busy(RequestAttempt attempt) {
        Request request = attempt.request();
        attempt.reservation().release(PoolServers.Result.BUSY);
        if (attempt.sent()) {
            request.sendRefused();
        }
        if (request.countBusyRefusal() > MAX_BUSY_REFUSALS) {
            requestCompleter.refuse(
                    request, Refusal.Code.OVERLOADED, shares.serviceTimes().mean());
        } else {
            retryUnlessGone(request, Attempt.Failure.SERVER_BUSY, Duration.ZERO);
        }
    }

    private void callerFailed(RequestAttempt attempt, Refusal.Code code) {
        release(attempt, attempt.sent() ? PoolServers.Result.UNANSWERED : PoolServers.Result.NEUTRAL);
        requestCompleter.refuse(attempt.request(), code);
    }

    /** Keeps the unit until the deadline when the server may still be running the request. */
    private void release(RequestAttempt attempt, PoolServers.Result result) {
        if (attempt.sent()) {
            attempt.reservation().releaseAfter(result, remaining(attempt.request()), context.scheduler());
        } else {
            attempt.reservation().release(result);
        }
    }

    private void serverFailed(RequestAttempt attempt, Attempt.Failure failure) {
        Request request = attempt.request();
        String server = attempt.server().name();
        release(attempt, resultOf(attempt, failure));
        request.failedServers().add(server);
        if (attempt.sent()) {
            request.serversThatMayHaveRun().add(server);
        }
        if (request.mayHaveRun() && !request.queue().idempotent()) {
            requestCompleter.refuse(request, lostCode(request));
        } else if (request.serversThatMayHaveRun().size() >= SET_ASIDE_SERVERS) {
            context.telemetry().event(EventCode.REQUEST_SET_ASIDE, "request=" + request.id() + " pool=" + pool);
            requestCompleter.refuse(request, Refusal.Code.SET_ASIDE);
        } else if (request.attempts() >= MAX_ATTEMPTS || !takeRetry(request)) {
            requestCompleter.refuse(
                    request,
                    Refusal.Code.RETRIES_EXHAUSTED,
                    shares.serviceTimes().mean());
        } else {
            retryUnlessGone(request, failure, pause(request));
        }
    }

    /** A time-out speaks against the server only when the server had the time that requests usually take. */
    private PoolServers.Result resultOf(RequestAttempt attempt, Attempt.Failure failure) {
        long usual =
                shares.serviceTimes().mean().multipliedBy(SLOW_SERVICE_TIMES).toNanos();
        boolean hurried = failure == Attempt.Failure.ANSWER_TIMEOUT
                && attempt.elapsedNanos(context.clock().monotonicNanos()) < usual;
        return hurried ? PoolServers.Result.UNANSWERED : PoolServers.Result.FAILURE;
    }

    private Refusal.Code lostCode(Request request) {
        return remaining(request).isZero() ? Refusal.Code.DEADLINE : Refusal.Code.ANSWER_LOST;
    }

    private void retryUnlessGone(Request request, Attempt.Failure reason, Duration pause) {
        if (request.cancelled()) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
            return;
        }
        context.telemetry().count(CounterCode.RETRIES, tag(reason));
        dispatcher.retry(request, pause);
    }

    private Duration pause(Request request) {
        double spread = 0.5 + context.random().nextDouble();
        return Duration.ofNanos((long) (RETRY_PAUSE_NANOS * spread * (1L << request.attempts())));
    }

    private boolean takeRetry(Request request) {
        boolean taken = budget(request).tryRetry();
        if (!taken) {
            context.telemetry()
                    .event(
                            EventCode.RETRY_BUDGET_EMPTY,
                            "queue=" + request.queue().name());
        }
        return taken;
    }

    private RetryBudget budget(Request request) {
        return budgets.computeIfAbsent(request.queue().name(), name -> RetryBudget.create());
    }
}
