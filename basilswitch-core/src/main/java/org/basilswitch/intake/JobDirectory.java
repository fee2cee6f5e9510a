package org.basilswitch.intake;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Scheduler;

/** Local copy of the jobs' records in the store, kept up to date by a watch. */
public final class JobDirectory implements PlatformStore.WatchListener, AutoCloseable {
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final PlatformStore store;
    private final StoreKeys keys;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Listener listener;
    private final Map<String, String> queueByJobId = new HashMap<>();
    private final Set<String> longRunningJobs = new HashSet<>();
    private final Set<String> cancelledJobs = new HashSet<>();
    private final Map<String, JobState> finalStates = new HashMap<>();
    private Optional<String> leader = Optional.empty();
    /** Whether the leader is the host that this one has handed over to, and was not read from the store. */
    private boolean handedOver;

    private Optional<PlatformStore.Watch> watch = Optional.empty();
    private boolean loaded;
    private boolean closed;

    /** Receives changes of the directory; a change may be reported more than once. */
    public interface Listener {
        /**
         * Called when a job is stored.
         *
         * @param revision revision of the job's record
         */
        void onAccepted(JobSubmission submission, long revision);

        /**
         * Called when the record of a job is deleted.
         *
         * @param revision revision as of which the record does not exist
         */
        void onDeleted(String id, long revision);

        /** Called when the cancellation of a job is stored. */
        void onCancelled(String id);

        /** Called when the scheduler's leader changes; empty when there is none. */
        void onLeaderChanged(Optional<String> newLeader);
    }

    private JobDirectory(
            PlatformStore store, StoreKeys keys, Scheduler scheduler, Telemetry telemetry, Listener listener) {
        this.store = store;
        this.keys = keys;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
        this.listener = listener;
    }

    /** Opens a directory; it is empty until the first read from the store completes. */
    public static JobDirectory open(
            PlatformStore store, StoreKeys keys, Scheduler scheduler, Telemetry telemetry, Listener listener) {
        JobDirectory directory = new JobDirectory(store, keys, scheduler, telemetry, listener);
        directory.load();
        return directory;
    }

    private void load() {
        if (closed) {
            return;
        }
        Completions.thenAcceptOrLog(
                () -> store.range(keys.jobs()),
                telemetry,
                "job directory",
                result -> {
                    if (result.isLeft()) {
                        telemetry.event(
                                EventCode.JOBS_READ_FAILED, result.getLeft().detail());
                        scheduler.schedule(RETRY_DELAY, this::load);
                        return;
                    }
                    replaceAll(result.get());
                    if (!closed) {
                        watch = Optional.of(
                                store.watch(keys.jobs(), result.get().revision() + 1, this));
                    }
                },
                () -> scheduler.schedule(RETRY_DELAY, this::load));
    }

    private void replaceAll(PlatformStore.Range range) {
        Set<String> previousIds = Set.copyOf(queueByJobId.keySet());
        queueByJobId.clear();
        longRunningJobs.clear();
        cancelledJobs.clear();
        finalStates.clear();
        Optional<String> previousLeader = leader;
        leader = Optional.empty();
        handedOver = false;
        range.entries().forEach(this::applyPut);
        previousIds.stream()
                .filter(id -> !queueByJobId.containsKey(id))
                .forEach(id -> listener.onDeleted(id, range.revision()));
        loaded = true;
        if (!leader.equals(previousLeader) || leader.isEmpty()) {
            listener.onLeaderChanged(leader);
        }
    }

    @Override
    public void onChanges(long revision, List<PlatformStore.Change> changes) {
        for (PlatformStore.Change change : changes) {
            if (change.entry().isPresent()) {
                applyPut(change.entry().get());
            } else {
                applyDelete(change.key(), change.modRevision());
            }
        }
    }

    @Override
    public void onCompacted(long compactRevision) {
        watch.ifPresent(PlatformStore.Watch::close);
        watch = Optional.empty();
        load();
    }

    private void applyPut(PlatformStore.Entry entry) {
        String key = entry.key();
        byte[] value = entry.value();
        if (key.startsWith(keys.jobsAccepted())) {
            RecordCodec.decode(value, JobSubmission.class)
                    .filter(job -> key.equals(keys.jobsAccepted() + job.id()))
                    .ifPresentOrElse(
                            job -> addAccepted(job, entry.modRevision()),
                            () -> telemetry.event(EventCode.JOB_RECORD_INVALID, "key=" + key));
        } else if (key.startsWith(keys.jobsCancelled())) {
            addCancelled(key.substring(keys.jobsCancelled().length()));
        } else if (key.startsWith(keys.jobsEnded())) {
            addEnded(key.substring(keys.jobsEnded().length()), new String(value, StandardCharsets.UTF_8));
        } else if (key.equals(keys.schedulerLeadership())) {
            setLeader(Optional.of(new String(value, StandardCharsets.UTF_8)));
        }
    }

    private void applyDelete(String key, long revision) {
        if (key.startsWith(keys.jobsAccepted())) {
            String id = key.substring(keys.jobsAccepted().length());
            queueByJobId.remove(id);
            longRunningJobs.remove(id);
            listener.onDeleted(id, revision);
        } else if (key.startsWith(keys.jobsCancelled())) {
            cancelledJobs.remove(key.substring(keys.jobsCancelled().length()));
        } else if (key.startsWith(keys.jobsEnded())) {
            finalStates.remove(key.substring(keys.jobsEnded().length()));
        } else if (key.equals(keys.schedulerLeadership())) {
            setLeader(Optional.empty());
        }
    }

    /**
     * Adds a job known to be stored, before the watch reports it.
     *
     * @param revision revision of the job's record
     */
    public void addAccepted(JobSubmission submission, long revision) {
        queueByJobId.put(submission.id(), submission.queue());
        if (submission.isLongRunning()) {
            longRunningJobs.add(submission.id());
        }
        listener.onAccepted(submission, revision);
    }

    /** Adds a cancellation known to be stored, before the watch reports it. */
    public void addCancelled(String id) {
        cancelledJobs.add(id);
        listener.onCancelled(id);
    }

    private void addEnded(String id, String state) {
        for (JobState candidate : JobState.values()) {
            if (candidate.name().equals(state)) {
                finalStates.put(id, candidate);
                return;
            }
        }
        telemetry.event(EventCode.JOB_RECORD_INVALID, "job=" + id + " has unknown final state " + state);
    }

    private void setLeader(Optional<String> newLeader) {
        leader = newLeader;
        handedOver = false;
        listener.onLeaderChanged(newLeader);
    }

    /** Returns whether all records have been read at least once. */
    public boolean loaded() {
        return loaded;
    }

    /** Returns the address of the scheduler's leader, as last read; empty when there is none. */
    public Optional<String> leader() {
        return leader;
    }

    /** Records which host this one has handed the leadership to, as a store that turns this host away does not tell it. */
    void onHandedOver(String nextLeader) {
        leader = Optional.of(nextLeader);
        handedOver = true;
    }

    /** Returns whether this host has handed over the leadership and has not read a leader from the store since. */
    boolean hasHandedOver() {
        return handedOver;
    }

    /** Returns whether the record of a job is in this copy. */
    public boolean contains(String id) {
        return queueByJobId.containsKey(id);
    }

    /** Returns whether the cancellation of a job is in this copy. */
    public boolean isCancelled(String id) {
        return cancelledJobs.contains(id);
    }

    /** Returns the stored final state, or {@code CANCELLED} if only a cancellation is stored; empty if neither is. */
    public Optional<JobState> finalState(String id) {
        JobState state = finalStates.get(id);
        if (state == JobState.COMPLETED && longRunningJobs.contains(id)) {
            // Stored by an earlier version; the scheduler resumes the job.
            state = null;
        }
        return state == null && cancelledJobs.contains(id)
                ? Optional.of(JobState.CANCELLED)
                : Optional.ofNullable(state);
    }

    /** Returns the number of jobs in a queue without a final state. */
    public long unfinishedCount(String queue) {
        return queueByJobId.entrySet().stream()
                .filter(entry -> entry.getValue().equals(queue)
                        && finalState(entry.getKey()).isEmpty())
                .count();
    }

    @Override
    public void close() {
        closed = true;
        watch.ifPresent(PlatformStore.Watch::close);
    }
}
