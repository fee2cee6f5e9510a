package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;

import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;

/** Reports steps that the advice service keeps from starting, so that an operator learns when it can't bear the load. */
final class AdviceDelayReport {
    /** Time from which a step that waits for its first answer is reported. */
    private static final Duration LONG_WAIT = Duration.ofSeconds(10);

    private static final Duration INTERVAL = Duration.ofSeconds(10);
    /** Calls in a row without use from which a step is reported. */
    private static final int MANY_USELESS_CALLS = 3;

    private final Telemetry telemetry;
    private long lastNanos;
    private boolean reported;

    AdviceDelayReport(Telemetry telemetry) {
        this.telemetry = telemetry;
    }

    /** Reports the steps that wait for tickets now, if there is reason to. */
    void update(List<StepTickets> waiting, long nowNanos) {
        if (reported && nowNanos - lastNanos < INTERVAL.toNanos()) {
            return;
        }
        long longestNanos = waiting.stream()
                .filter(tickets -> !tickets.isAnswered())
                .mapToLong(tickets -> nowNanos - tickets.firstNeedNanos())
                .max()
                .orElse(0);
        long useless = waiting.stream()
                .filter(tickets -> tickets.uselessCalls() >= MANY_USELESS_CALLS)
                .count();
        if (longestNanos > LONG_WAIT.toNanos() || useless > 0) {
            reported = true;
            lastNanos = nowNanos;
            telemetry.event(
                    EventCode.ADVICE_BEHIND,
                    "waitingSteps=" + waiting.size() + " longestWithoutAnswerMs="
                            + Duration.ofNanos(longestNanos).toMillis() + " stepsWithUselessCalls=" + useless);
        }
    }
}
