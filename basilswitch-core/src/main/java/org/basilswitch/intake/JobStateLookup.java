package org.basilswitch.intake;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.JobState;

/** Looks up the state of a job in this host's copy of the records and at the scheduler's leader. */
final class JobStateLookup {
    private final JobNode node;
    private final JobDirectory directory;
    private final SchedulerClient schedulerClient;
    private final String address;

    /**
     * Creates the lookup.
     *
     * @param address address of this host
     */
    JobStateLookup(JobNode node, JobDirectory directory, SchedulerClient schedulerClient, String address) {
        this.node = node;
        this.directory = directory;
        this.schedulerClient = schedulerClient;
        this.address = address;
    }

    /** Returns the address of the leader if it is another host. */
    Optional<String> otherLeader() {
        return directory.leader().filter(leader -> !leader.equals(address));
    }

    /** Returns the state of a job; empty when this host does not know it and the leader does not tell it. */
    CompletionStage<Optional<JobState>> find(String id) {
        Optional<JobState> known =
                directory.finalState(id).or(() -> node.scheduler().flatMap(s -> s.jobState(id)));
        Optional<String> leader = otherLeader();
        return known.isPresent() || leader.isEmpty()
                ? CompletableFuture.completedFuture(known)
                : schedulerClient.queryState(leader.get(), id);
    }
}
