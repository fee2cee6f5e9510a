package org.basilswitch.bench.workload;

import java.time.Duration;

import org.basilswitch.dispatch.Attempt;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.dispatch.RequestBroker;

/** Caller of one request: sends the request's attempts to the virtual workers and records its outcome. */
final class VirtualCaller implements RequestBroker.RequestObserver {
    private final VirtualFleet fleet;
    private final VirtualEntryHost host;
    private final String team;
    private final long startNanos;
    private int lastAttemptNumber;
    private boolean ended;

    VirtualCaller(VirtualFleet fleet, VirtualEntryHost host, String team) {
        this.fleet = fleet;
        this.host = host;
        this.team = team;
        this.startNanos = fleet.time().monotonicNanos();
        fleet.outcomes().recordSent();
        fleet.outcomes(team).recordSent();
    }

    @Override
    public void onAttempt(Attempt attempt) {
        lastAttemptNumber = attempt.number();
        String zone = attempt.server().zone();
        String ownZone = host.member().zone();
        if (!attempt.tryBeginSend()) {
            return;
        }
        fleet.counters().recordAttempt(!zone.equals(ownZone));
        Duration delay = fleet.delay(ownZone, zone);
        fleet.time()
                .schedule(delay, () -> fleet.worker(attempt.server().name()).receive(team, replies(attempt, delay)));
        fleet.time().schedule(attempt.timeout(), () -> attempt.fail(Attempt.Failure.ANSWER_TIMEOUT));
    }

    private VirtualWorker.Replies replies(Attempt attempt, Duration delay) {
        return new VirtualWorker.Replies() {
            @Override
            public void answered() {
                fleet.time().schedule(delay, () -> complete(attempt));
            }

            @Override
            public void failed() {
                fleet.time().schedule(delay, () -> attempt.fail(Attempt.Failure.RESET));
            }

            @Override
            public void busy() {
                fleet.time().schedule(delay, () -> attempt.fail(Attempt.Failure.SERVER_BUSY));
            }
        };
    }

    private void complete(Attempt attempt) {
        Duration latency = Duration.ofNanos(fleet.time().monotonicNanos() - startNanos);
        attempt.complete(200);
        if (attempt.number() != lastAttemptNumber || ended) {
            return;
        }
        ended = true;
        boolean withinDeadline = latency.compareTo(fleet.spec().deadline()) <= 0;
        fleet.outcomes().recordAnswer(latency, withinDeadline);
        fleet.outcomes(team).recordAnswer(latency, withinDeadline);
    }

    @Override
    public void onRefused(Refusal refusal) {
        ended = true;
        fleet.outcomes().recordRefusal(refusal);
        fleet.outcomes(team).recordRefusal(refusal);
    }
}
