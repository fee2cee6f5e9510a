package org.basilswitch.overload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.basilswitch.job.JobTeam;

/** Bounds the work with which a team delays others, as its limit leaves the rest of the room to them. */
public final class TeamAllowance {
    /** Time over which a team's work is counted up to its limit; longer waits are of no use to a caller. */
    private static final Duration HORIZON = Duration.ofSeconds(10);

    private final Map<String, Double> leftCoreMs = new HashMap<>();

    /**
     * Returns the part of a job's work that others have to wait for.
     *
     * @param team team of the job; null when it is not configured
     * @param coreMs processor time that is to be started, core-milliseconds
     */
    public double take(JobTeam team, double coreMs) {
        if (team == null || team.limit().cpuMillis() == 0) {
            return coreMs;
        }
        double left =
                leftCoreMs.computeIfAbsent(team.name(), name -> team.limit().cpuMillis() / 1000.0 * HORIZON.toMillis());
        double taken = Math.min(left, coreMs);
        leftCoreMs.put(team.name(), left - taken);
        return taken;
    }
}
