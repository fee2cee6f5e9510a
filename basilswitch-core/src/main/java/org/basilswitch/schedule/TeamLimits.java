package org.basilswitch.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.event.EventCode;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/** Decides whether the limit of a job's team allows a start, and reports steps that the limit is too low for. */
final class TeamLimits {
    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final Set<String> reportedSteps = new HashSet<>();

    TeamLimits(SchedulerContext context, RunRegistry runRegistry) {
        this.context = context;
        this.runRegistry = runRegistry;
    }

    /** Returns whether a work item of this step may start; for a gang, whether all its members may start together. */
    boolean allowStart(ActiveJob job, List<WorkItem> step) {
        return allow(job, step, Resources.NONE);
    }

    /** Returns whether a run that is recorded, but not started, may start; for a gang, whether all members may. */
    boolean stillAllowStart(Run run) {
        ActiveJob job = run.item().job();
        List<WorkItem> step = job.stepOf(run.id());
        return allow(job, step, step.get(0).spec().resources().times(startCount(step)));
    }

    private boolean allow(ActiveJob job, List<WorkItem> step, Resources counted) {
        Optional<JobTeam> team = team(job);
        if (team.isEmpty()) {
            return true;
        }
        Resources item = step.get(0).spec().resources();
        reportLowLimit(team.get(), step, item);
        Resources running = runRegistry.usage(team.get().name()).minus(counted);
        return team.get().allowsStart(running, item, startCount(step));
    }

    private Optional<JobTeam> team(ActiveJob job) {
        return Optional.ofNullable(context.configuration()
                .get()
                .configuration()
                .teams()
                .get(job.submission().team()));
    }

    private static int startCount(List<WorkItem> step) {
        StepSpec spec = step.get(0).spec();
        return spec.gang() ? step.size() : 1;
    }

    private void reportLowLimit(JobTeam team, List<WorkItem> step, Resources item) {
        Resources together = item.times(startCount(step));
        if (team.allows(together)) {
            return;
        }
        String name = step.get(0).id().stepName();
        if (reportedSteps.add(name)) {
            boolean waits = !team.allowsStart(Resources.NONE, item, startCount(step));
            context.telemetry()
                    .event(
                            EventCode.TEAM_LIMIT_TOO_LOW,
                            "step=" + name + " team=" + team.name() + " uses=" + together + " limit=" + team.limit()
                                    + (waits ? " waits for a higher limit" : " starts alone"));
        }
    }

    /** Removes what is kept of a job. */
    void removeJob(String job) {
        reportedSteps.removeIf(step -> step.startsWith(job + "."));
    }
}
