package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.event.EventCode;

/** Attributes failed runs to the work item or to the server, and keeps new work away from servers that fail. */
final class FailureAttribution {
    /** Initial pause of a failing server; long enough for a failed work item to complete on another server. */
    private static final Duration INITIAL_FAILING_PAUSE = Duration.ofMillis(4000);
    /** Maximum pause of a server on which all work keeps failing. */
    private static final Duration MAX_FAILING_PAUSE = Duration.ofMillis(16_000);
    /**
     * Number of jobs with failures on a server since its last success after which the server is avoided for some time.
     */
    private static final int FAILED_JOBS_BEFORE_AVOIDANCE = 2;
    /** Number of servers on which a work item has failed after which the failures are attributed to the item. */
    private static final int FAILED_SERVERS_BEFORE_ITEM_IS_FAULTY = 2;

    /** Time after which long-running work counts as working; its startup is shorter. */
    private static final Duration MIN_WORKING_TIME = Duration.ofMillis(4000);

    private final SchedulerContext context;
    private final RunRegistry runRegistry;

    FailureAttribution(SchedulerContext context, RunRegistry runRegistry) {
        this.context = context;
        this.runRegistry = runRegistry;
    }

    /**
     * Handles the failure of a run on a server, after the item has counted it.
     *
     * @param run the run; empty if it is not known any more
     */
    void onFailure(TrackedServer tracked, WorkItem item, Optional<Run> run) {
        long nowNanos = context.holderClock().monotonicNanos();
        if (run.filter(FailureAttribution::hasWorked).isPresent() || tracked.isFailing(nowNanos)) {
            // Work that starts and fails later does not show a failing server; neither do runs started before its
            // pause.
            return;
        }
        if (item.failedOnServers() >= FAILED_SERVERS_BEFORE_ITEM_IS_FAULTY) {
            runRegistry
                    .servers()
                    .forEach(server -> server.clearFailure(item.id().job()));
        } else if (tracked.countFailure(item.id().job()) >= FAILED_JOBS_BEFORE_AVOIDANCE) {
            Duration pause = tracked.markFailing(INITIAL_FAILING_PAUSE, MAX_FAILING_PAUSE, nowNanos);
            context.telemetry()
                    .event(
                            EventCode.SERVER_FAILING,
                            "server=" + tracked.incarnation().serverId() + " avoidedMs=" + pause.toMillis());
        }
    }

    /** Returns whether a run was long-running work that has worked for some time. */
    private static boolean hasWorked(Run run) {
        return run.item().spec().longRunning() && run.reportedTime().compareTo(MIN_WORKING_TIME) >= 0;
    }
}
