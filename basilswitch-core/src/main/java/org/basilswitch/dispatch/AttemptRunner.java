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
 * Claims idempotency keys and starts attempts for the requests of one pool, and handles the ends of the attempts.
 *
 * <p>A request is retried only when it has certainly not run, or when its queue is idempotent. Once the first byte of a
 * non-idempotent request may have been sent, no further attempt is made unless the server has certainly refused to
 * start the request.
 */
final class AttemptRunner implements RequestAttempt.Listener {
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);
    private static final Duration MIN_ATTEMPT_TIMEOUT = Duration.ofSeconds(1);
    private static final int ATTEMPT_TIMEOUT_SERVICE_TIMES = 10;
    private static final int MIN_FAILURE_SERVICE_TIMES = 5;
    private static final int SET_ASIDE_FAILED_SERVERS = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_BUSY_REFUSALS = 50;
    private static final long BASE_RETRY_BACKOFF_NANOS = 10_000_000;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final String pool;
    private final BrokerContext context;
    private final RequestCompleter requestCompleter;
    private final Invariants invariants;
    private final PoolShares shares;
    private final PoolServers servers;
    private final PoolDispatcher dispatcher;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

    AttemptRunner(
            String pool,
            BrokerContext context,
            RequestCompleter requestCompleter,
            Invariants invariants,
            PoolShares shares,
            PoolServers servers,
            PoolDispatcher dispatcher) {
        this.pool = pool;
        this.context = context;
        this.requestCompleter = requestCompleter;
        this.invariants = invariants;
        this.shares = shares;
        this.servers = servers;
        this.dispatcher = dispatcher;
    }

    /** Starts a request that holds a unit of its team's limit and a server slot, after claiming its key if needed. */
    void start(Request request, CapacityReservation reservation) {
        if (!request.needsClaim()) {
            startAttempt(request, reservation);
            return;
        }
        request.setState(Request.State.CLAIMING);
        Duration remaining = remaining(request);
        Duration wait = remaining.compareTo(MAX_CLAIM_WAIT) < 0 ? remaining : MAX_CLAIM_WAIT;
        context.claims()
                .claim(
                        request.queue().name(),
                        request.spec().idempotencyKey().orElseThrow(),
                        Duration.ofMillis(request.queue().claimTimeMs()),
                        wait)
                .whenComplete((result, error) -> onClaimResult(
                        request,
                        reservation,
                        error == null ? result : new RequestClaims.Unavailable(error.toString())));
    }

    private void onClaimResult(Request request, CapacityReservation reservation, RequestClaims.ClaimResult result) {
        switch (result) {
            case RequestClaims.Granted granted -> {
                request.setClaimed(true);
                startAfterClaim(request, reservation);
            }
            case RequestClaims.Duplicate duplicate ->
                releaseAndRefuse(request, reservation, Refusal.Code.ALREADY_CLAIMED);
            case RequestClaims.Unavailable unavailable -> {
                releaseUnused(request, reservation);
                requestCompleter.refuse(request, Refusal.Code.CLAIM_UNAVAILABLE, Duration.ZERO);
            }
        }
    }

    private void startAfterClaim(Request request, CapacityReservation reservation) {
        if (request.cancelled()) {
            releaseAndRefuse(request, reservation, Refusal.Code.CALLER_GONE);
        } else if (remaining(request).compareTo(shares.serviceTimes().minTimeToStart(request.totalTime())) <= 0) {
            releaseAndRefuse(request, reservation, Refusal.Code.DEADLINE);
        } else if (servers.isEligible(reservation.server())) {
            startAttempt(request, reservation);
        } else {
            releaseUnused(request, reservation);
            dispatcher.retry(request, Duration.ZERO);
        }
    }

    private void releaseAndRefuse(Request request, CapacityReservation reservation, Refusal.Code code) {
        releaseUnused(request, reservation);
        requestCompleter.refuse(request, code);
    }

    private void releaseUnused(Request request, CapacityReservation reservation) {
        reservation.release(PoolServers.Result.NEUTRAL);
        dispatcher.onSlotFreed(request);
    }

    private void startAttempt(Request request, CapacityReservation reservation) {
        request.setState(Request.State.ATTEMPTING);
        int number = request.countAttempt();
        context.telemetry().count(CounterCode.ATTEMPTS_STARTED, pool);
        request.observer()
                .onAttempt(new RequestAttempt(
                        request, reservation, number, attemptTimeout(request), this, context.clock()));
    }

    private Duration attemptTimeout(Request request) {
        Duration remaining = remaining(request);
        Duration mean = shares.serviceTimes().mean();
        if (!request.queue().idempotent() || request.mayHaveRun() || mean.isZero()) {
            return remaining;
        }
        Duration serviceTimeLimit = mean.multipliedBy(ATTEMPT_TIMEOUT_SERVICE_TIMES);
        Duration limit = serviceTimeLimit.compareTo(MIN_ATTEMPT_TIMEOUT) < 0 ? MIN_ATTEMPT_TIMEOUT : serviceTimeLimit;
        return limit.compareTo(remaining) < 0 ? limit : remaining;
    }

    private Duration remaining(Request request) {
        return request.remaining(context.clock().monotonicNanos());
    }

    @Override
    public boolean maySend(RequestAttempt attempt) {
        Request request = attempt.request();
        boolean nonIdempotent = !request.queue().idempotent();
        if (!invariants.check(!(nonIdempotent && request.mayHaveRun()), "sent-once", "request=" + request.id())) {
            return false;
        }
        if (checkMaySend(request).isLeft()) {
            return false;
        }
        request.recordSend();
        return true;
    }

    private Either<Refusal.Code, Queue> checkMaySend(Request request) {
        if (!context.servingLease().mayStartWork()) {
            return Either.left(Refusal.Code.STALE);
        }
        boolean maySend = request.maySendAt(context.holderClock().monotonicNanos());
        if (!maySend || remaining(request).isZero()) {
            return Either.left(Refusal.Code.DEADLINE);
        }
        if (request.cancelled()) {
            return Either.left(Refusal.Code.CALLER_GONE);
        }
        return PoolDispatcher.checkAllowed(context.configuration().get(), request);
    }

    @Override
    public void onSendDenied(RequestAttempt attempt) {
        Request request = attempt.request();
        Refusal.Code code = checkMaySend(request).fold(denied -> denied, queue -> Refusal.Code.ANSWER_LOST);
        releaseAndRefuse(request, attempt.reservation(), code);
    }

    @Override
    public void onAnswered(RequestAttempt attempt, int status) {
        Request request = attempt.request();
        if (!invariants.check(attempt.sent(), "answered-after-send", "request=" + request.id())) {
            releaseAndRefuse(request, attempt.reservation(), Refusal.Code.RETRIES_EXHAUSTED);
            return;
        }
        boolean success = status < FIRST_SERVER_ERROR_STATUS;
        attempt.reservation().release(success ? PoolServers.Result.SUCCESS : PoolServers.Result.FAILURE);
        if (success) {
            retryBudget(request).recordSuccess();
            shares.serviceTimes().record(attempt.elapsedNanos(context.clock().monotonicNanos()));
        }
        requestCompleter.completeAnswered(request);
        dispatcher.onSlotFreed(request);
    }

    @Override
    public void onFailed(RequestAttempt attempt, Attempt.Failure failure) {
        context.telemetry().count(CounterCode.ATTEMPTS_FAILED, failureTag(failure));
        Request request = attempt.request();
        switch (failure) {
            case SERVER_BUSY -> onServerBusy(attempt);
            case CALLER_GONE -> onCallerFailure(attempt, Refusal.Code.CALLER_GONE);
            case CALLER_BODY_FAILED -> onCallerFailure(attempt, Refusal.Code.REQUEST_MALFORMED);
            case CONNECT_REFUSED, CONNECT_TIMEOUT, RESET, ANSWER_TIMEOUT, ANSWER_MALFORMED ->
                onServerFailure(attempt, failure);
        }
        dispatcher.onSlotFreed(request);
    }

    private static String failureTag(Attempt.Failure failure) {
        return failure.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    private void onServerBusy(RequestAttempt attempt) {
        Request request = attempt.request();
        attempt.reservation().release(PoolServers.Result.BUSY);
        if (attempt.sent()) {
            request.recordSendRefused();
        }
        if (request.countBusyRefusal() > MAX_BUSY_REFUSALS) {
            requestCompleter.refuse(
                    request, Refusal.Code.OVERLOADED, shares.serviceTimes().mean());
        } else {
            retryUnlessCancelled(request, Attempt.Failure.SERVER_BUSY, Duration.ZERO);
        }
    }

    private void onCallerFailure(RequestAttempt attempt, Refusal.Code code) {
        releaseReservation(attempt, attempt.sent() ? PoolServers.Result.UNANSWERED : PoolServers.Result.NEUTRAL);
        requestCompleter.refuse(attempt.request(), code);
    }

    /**
     * Releases the slot, and the unit as well unless the server may still be running the request. In that case the unit
     * is released at the request's deadline.
     */
    private void releaseReservation(RequestAttempt attempt, PoolServers.Result result) {
        if (attempt.sent()) {
            attempt.reservation().releaseAfter(result, remaining(attempt.request()), context.scheduler());
        } else {
            attempt.reservation().release(result);
        }
    }

    private void onServerFailure(RequestAttempt attempt, Attempt.Failure failure) {
        Request request = attempt.request();
        String server = attempt.server().name();
        releaseReservation(attempt, serverResult(attempt, failure));
        request.failedServers().add(server);
        if (attempt.sent()) {
            request.serversThatMayHaveRun().add(server);
        }
        if (request.mayHaveRun() && !request.queue().idempotent()) {
            requestCompleter.refuse(request, lostAnswerCode(request));
        } else if (request.serversThatMayHaveRun().size() >= SET_ASIDE_FAILED_SERVERS) {
            context.telemetry().event(EventCode.REQUEST_SET_ASIDE, "request=" + request.id() + " pool=" + pool);
            requestCompleter.refuse(request, Refusal.Code.SET_ASIDE);
        } else if (request.attempts() >= MAX_ATTEMPTS || !tryTakeRetry(request)) {
            requestCompleter.refuse(
                    request,
                    Refusal.Code.RETRIES_EXHAUSTED,
                    shares.serviceTimes().mean());
        } else {
            retryUnlessCancelled(request, failure, retryBackoff(request));
        }
    }

    /**
     * Classifies a failure for the server's health. A timeout counts against the server only when the server had at
     * least the time that {@link #MIN_FAILURE_SERVICE_TIMES} mean requests take.
     */
    private PoolServers.Result serverResult(RequestAttempt attempt, Attempt.Failure failure) {
        long minNanos = shares.serviceTimes()
                .mean()
                .multipliedBy(MIN_FAILURE_SERVICE_TIMES)
                .toNanos();
        boolean shortTimeout = failure == Attempt.Failure.ANSWER_TIMEOUT
                && attempt.elapsedNanos(context.clock().monotonicNanos()) < minNanos;
        return shortTimeout ? PoolServers.Result.UNANSWERED : PoolServers.Result.FAILURE;
    }

    private Refusal.Code lostAnswerCode(Request request) {
        return remaining(request).isZero() ? Refusal.Code.DEADLINE : Refusal.Code.ANSWER_LOST;
    }

    private void retryUnlessCancelled(Request request, Attempt.Failure reason, Duration backoff) {
        if (request.cancelled()) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
            return;
        }
        context.telemetry().count(CounterCode.RETRIES, failureTag(reason));
        dispatcher.retry(request, backoff);
    }

    private Duration retryBackoff(Request request) {
        double jitter = 0.5 + context.random().nextDouble();
        return Duration.ofNanos((long) (BASE_RETRY_BACKOFF_NANOS * jitter * (1L << request.attempts())));
    }

    private boolean tryTakeRetry(Request request) {
        boolean taken = retryBudget(request).tryTakeRetry();
        if (!taken) {
            context.telemetry()
                    .event(
                            EventCode.RETRY_BUDGET_EMPTY,
                            "queue=" + request.queue().name());
        }
        return taken;
    }

    private RetryBudget retryBudget(Request request) {
        return retryBudgets.computeIfAbsent(request.queue().name(), name -> RetryBudget.create());
    }
}
