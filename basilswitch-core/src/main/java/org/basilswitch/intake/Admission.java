package org.basilswitch.intake;

import java.util.Optional;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobTeam;

/**
 * The queue and team of a call in one version of the configuration.
 *
 * @param queue queue that the call's host name and path address; empty if there is none
 * @param team team that the call's key belongs to; empty if there is none
 */
record Admission(Optional<JobQueue> queue, Optional<JobTeam> team) {

    static Admission of(JobCall call, JobConfiguration configuration) {
        return new Admission(
                JobQueue.findByPath(configuration.queues().values(), call.host(), call.path()),
                call.key().flatMap(configuration::findTeamByKey));
    }

    /** Returns whether the queue exists and, unless it is open, the key belongs to a team. */
    boolean isGranted() {
        return queue.filter(found -> found.open() || team.isPresent()).isPresent();
    }
}
