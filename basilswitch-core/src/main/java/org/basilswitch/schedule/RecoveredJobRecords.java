package org.basilswitch.schedule;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.store.PlatformStore;

/** Job records that a new leader reads from the store. */
final class RecoveredJobRecords {
    private final Map<String, PlatformStore.Entry> entries = new HashMap<>();
    private final Map<String, List<PlatformStore.Entry>> byPrefix = new HashMap<>();

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

    /** Returns the final states under a prefix by job identifier. */
    Map<String, JobState> ended(String prefix) {
        Map<String, JobState> states = new HashMap<>();
        for (PlatformStore.Entry entry : byPrefix.getOrDefault(prefix, List.of())) {
            states.put(
                    entry.key().substring(prefix.length()),
                    JobState.valueOf(new String(entry.value(), StandardCharsets.UTF_8)));
        }
        return states;
    }

    Optional<Progress> progress(String key) {
        return Optional.ofNullable(entries.get(key))
                .flatMap(entry -> RecordCodec.decode(entry.value(), ProgressRecord.class)
                        .map(record -> new Progress(record, entry.modRevision())));
    }

    boolean isCancelled(String key) {
        return entries.containsKey(key);
    }
}
