package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.admission.RetryAfter;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Scheduler;

/** Ends requests, each exactly once, and notifies their observers in a later turn of the event loop. */
final class RequestCompleter {
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final RequestClaims claims;
    private final RetryAfter retryAfter;
    private final Invariants invariants;
    private int openRequests;

    RequestCompleter(
            Scheduler scheduler,
            Telemetry telemetry,
            RequestClaims claims,
            RetryAfter retryAfter,
            Invariants invariants) {
        this.scheduler = scheduler;
        this.telemetry = telemetry;
        this.claims = claims;
        this.retryAfter = retryAfter;
        this.invariants = invariants;
    }

    void countOpened() {
        openRequests++;
    }

    int openRequests() {
        return openRequests;
    }

    /** Ends a request that was answered by its backend server. */
    void completeAnswered(Request request) {
        tryEnd(request);
    }

    /** Refuses a request for a reason for which retrying soon does not help. */
    void refuse(Request request, Refusal.Code code) {
        refuse(request, code, Optional.empty());
    }

    /** Refuses a request for a temporary reason, with a randomised retry delay based on the expected wait. */
    void refuse(Request request, Refusal.Code code, Duration expectedWait) {
        refuse(request, code, Optional.of(retryAfter.withJitter(expectedWait)));
    }

    private void refuse(Request request, Refusal.Code code, Optional<Duration> retryDelay) {
        if (!tryEnd(request)) {
            return;
        }
        if (request.claimed() && !request.mayHaveRun()) {
            claims.release(
                    request.queue().name(), request.spec().idempotencyKey().orElseThrow());
        }
        telemetry.count(CounterCode.REQUESTS_REFUSED, code.text());
        Refusal refusal = request.refusal(code, retryDelay);
        scheduler.schedule(Duration.ZERO, () -> request.observer().onRefused(refusal));
    }

    private boolean tryEnd(Request request) {
        if (!invariants.check(!request.ended(), "request-ended-once", "request=" + request.id())) {
            return false;
        }
        request.setState(Request.State.ENDED);
        request.cancelExpiry();
        openRequests--;
        return true;
    }
}
