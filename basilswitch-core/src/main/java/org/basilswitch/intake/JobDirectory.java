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

/** What an entry host knows of all jobs: a copy of the store's records that follows them by a watch. */
public final class JobDirectory implements PlatformStore.WatchListener, AutoCloseable {
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final PlatformStore store;
    private final StoreKeys keys;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Listener listener;
    private final Map<String, String> queueByJobId = new HashMap<>();
    private final Set<String> cancelledJobs = new HashSet<>();
    private final Map<String, JobState> finalStates = new HashMap<>();
    private Optional<String> leader = Optional.empty();
    private Optional<PlatformStore.Watch> watch = Optional.empty();
    private boolean loaded;
    private boolean closed;

    /** Told of changes, some of them more than once. */
    public interface Listener {
        /** A job is stored. */
        void onAccepted(JobSubmission submission);

        /** A job's cancellation is stored. */
        void onCancelled(String id);

        /** The holder of the scheduler duty has changed. */
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

    /** Opens a directory; it is empty until the first read has been answered. */
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
        Completions.then(store.range(keys.jobs()), telemetry, "directory of jobs", result -> {
            if (result.isLeft()) {
                telemetry.event(EventCode.JOBS_READ_FAILED, result.getLeft().detail());
                scheduler.schedule(RETRY_DELAY, this::load);
                return;
            }
            replaceAll(result.get().entries());
            if (!closed) {
                watch = Optional.of(store.watch(keys.jobs(), result.get().revision() + 1, this));
            }
        });
    }

    private void replaceAll(List<PlatformStore.Entry> entries) {
        queueByJobId.clear();
        cancelledJobs.clear();
        finalStates.clear();
        Optional<String> previousLeader = leader;
        leader = Optional.empty();
        entries.forEach(entry -> applyPut(entry.key(), entry.value()));
        loaded = true;
        if (!leader.equals(previousLeader) || leader.isEmpty()) {
            listener.onLeaderChanged(leader);
        }
    }

    @Override
    public void onChanges(long revision, List<PlatformStore.Change> changes) {
        for (PlatformStore.Change change : changes) {
            if (change.entry().isPresent()) {
                applyPut(change.key(), change.entry().get().value());
            } else {
                applyDelete(change.key());
            }
        }
    }

    @Override
    public void onCompacted(long compactRevision) {
        watch.ifPresent(PlatformStore.Watch::close);
        watch = Optional.empty();
        load();
    }

    private void applyPut(String key, byte[] value) {
        if (key.startsWith(keys.jobsAccepted())) {
            RecordCodec.decode(value, JobSubmission.class)
                    .ifPresentOrElse(
                            this::addAccepted, () -> telemetry.event(EventCode.JOB_RECORD_INVALID, "key=" + key));
        } else if (key.startsWith(keys.jobsCancelled())) {
            addCancelled(key.substring(keys.jobsCancelled().length()));
        } else if (key.startsWith(keys.jobsEnded())) {
            addEnded(key.substring(keys.jobsEnded().length()), new String(value, StandardCharsets.UTF_8));
        } else if (key.equals(keys.schedulerLeadership())) {
            setLeader(Optional.of(new String(value, StandardCharsets.UTF_8)));
        }
    }

    private void applyDelete(String key) {
        if (key.startsWith(keys.jobsAccepted())) {
            queueByJobId.remove(key.substring(keys.jobsAccepted().length()));
        } else if (key.startsWith(keys.jobsCancelled())) {
            cancelledJobs.remove(key.substring(keys.jobsCancelled().length()));
        } else if (key.startsWith(keys.jobsEnded())) {
            finalStates.remove(key.substring(keys.jobsEnded().length()));
        } else if (key.equals(keys.schedulerLeadership())) {
            setLeader(Optional.empty());
        }
    }

    /** Adds a job that this host knows to be stored. */
    public void addAccepted(JobSubmission submission) {
        queueByJobId.put(submission.id(), submission.queue());
        listener.onAccepted(submission);
    }

    /** Adds a cancellation that this host knows to be stored. */
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
        telemetry.event(EventCode.JOB_RECORD_INVALID, "job=" + id + " final state " + state);
    }

    private void setLeader(Optional<String> newLeader) {
        leader = newLeader;
        listener.onLeaderChanged(newLeader);
    }

    /** Whether the directory has been read once. */
    public boolean loaded() {
        return loaded;
    }

    /** The holder of the scheduler duty, as last seen. */
    public Optional<String> leader() {
        return leader;
    }

    /** Whether a job is known to be stored. */
    public boolean contains(String id) {
        return queueByJobId.containsKey(id);
    }

    /** Whether a job's cancellation is known to be stored. */
    public boolean isCancelled(String id) {
        return cancelledJobs.contains(id);
    }

    /** The final state of a job, if it has one. */
    public Optional<JobState> finalState(String id) {
        JobState state = finalStates.get(id);
        return state == null && cancelledJobs.contains(id)
                ? Optional.of(JobState.CANCELLED)
                : Optional.ofNullable(state);
    }

    /** Number of a queue's jobs without a final state. */
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
