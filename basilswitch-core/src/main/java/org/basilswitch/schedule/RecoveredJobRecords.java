package org.basilswitch.schedule;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;

/** Job records that a new leader reads from the store. */
final class RecoveredJobRecords {
    private final Map<String, PlatformStore.Entry> entries = new HashMap<>();
    private final Map<String, List<PlatformStore.Entry>> byPrefix = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();

    /** Progress of one job and the revision of its record. */
    record Progress(ProgressRecord record, long revision) {}

    void add(String prefix, List<PlatformStore.Entry> read) {
        byPrefix.put(prefix, read);
        read.forEach(entry -> entries.put(entry.key(), entry));
    }

    /** Returns whether the records of all these prefixes have been read. */
    boolean hasAll(List<String> prefixes) {
        return byPrefix.keySet().containsAll(prefixes);
    }

    /** Returns the revision of a record; {@link Transaction#ABSENT} when there is none. */
    long revision(String key) {
        return Optional.ofNullable(entries.get(key))
                .map(PlatformStore.Entry::modRevision)
                .orElse(Transaction.ABSENT);
    }

    /** Returns the valid submissions under a prefix and reports invalid ones. */
    List<JobSubmission> accepted(String prefix, Telemetry telemetry) {
        List<JobSubmission> submissions = new ArrayList<>();
        for (PlatformStore.Entry entry : byPrefix.getOrDefault(prefix, List.of())) {
            Optional<JobSubmission> submission = RecordCodec.decode(entry.value(), JobSubmission.class)
                    .filter(job -> entry.key().equals(prefix + job.id()));
            submission.ifPresentOrElse(
                    submissions::add, () -> telemetry.event(EventCode.JOB_RECORD_INVALID, "key=" + entry.key()));
        }
        return submissions;
    }

    /**
     * Returns the final states under a prefix by job identifier and reports invalid ones. A state that a job can't have
     * ended with, which an earlier version stored, is reported and left out.
     *
     * @param accepted valid submissions
     */
    Map<String, JobState> ended(String prefix, Collection<JobSubmission> accepted, Telemetry telemetry) {
        Set<String> longRunning = accepted.stream()
                .filter(JobSubmission::isLongRunning)
                .map(JobSubmission::id)
                .collect(Collectors.toSet());
        Map<String, JobState> states = new HashMap<>();
        for (PlatformStore.Entry entry : byPrefix.getOrDefault(prefix, List.of())) {
            String id = entry.key().substring(prefix.length());
            String name = new String(entry.value(), StandardCharsets.UTF_8);
            Arrays.stream(JobState.values())
                    .filter(state -> state.isFinal() && state.name().equals(name))
                    .findFirst()
                    .ifPresentOrElse(
                            state -> {
                                if (state == JobState.COMPLETED && longRunning.contains(id)) {
                                    telemetry.event(EventCode.JOB_RESUMED, "job=" + id);
                                } else {
                                    states.put(id, state);
                                }
                            },
                            () -> addUnreadable(id, entry.key(), telemetry));
        }
        return states;
    }

    /** Returns the progress of a job; empty when it has not started or its record is invalid, which is reported. */
    Optional<Progress> progress(JobSubmission submission, String key, Telemetry telemetry) {
        Optional<PlatformStore.Entry> entry = Optional.ofNullable(entries.get(key));
        Optional<Progress> progress = entry.flatMap(found -> RecordCodec.decode(found.value(), ProgressRecord.class)
                .filter(record -> record.fits(submission))
                .map(record -> new Progress(record, found.modRevision())));
        if (entry.isPresent() && progress.isEmpty()) {
            addUnreadable(submission.id(), key, telemetry);
        }
        return progress;
    }

    private void addUnreadable(String id, String key, Telemetry telemetry) {
        unreadable.add(id);
        telemetry.event(EventCode.JOB_RECORD_INVALID, "key=" + key);
    }

    /** Returns the jobs with an invalid progress or final state; they may have run, so they must not start anew. */
    Set<String> unreadable() {
        return unreadable;
    }

    boolean isCancelled(String key) {
        return entries.containsKey(key);
    }
}
