package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.List;
import java.util.TreeMap;

import org.basilswitch.store.PlatformStore;
import org.basilswitch.time.SimulatedTime;

/** Records when each revision was written; the age of a revision stands for its acknowledgement by the entry hosts. */
final class RevisionTimes implements PlatformStore.WatchListener {
    private final SimulatedTime time;
    private final TreeMap<Long, Long> writtenNanos = new TreeMap<>();

    RevisionTimes(SimulatedTime time) {
        this.time = time;
    }

    @Override
    public void onChanges(long revision, List<PlatformStore.Change> changes) {
        writtenNanos.put(revision, time.monotonicNanos());
    }

    @Override
    public void onCompacted(long compactRevision) {}

    /** Returns whether a revision was written at least {@code age} ago; false for an unknown revision. */
    boolean isOlderThan(long revision, Duration age) {
        Long written = writtenNanos.get(revision);
        return written != null && time.monotonicNanos() - written >= age.toNanos();
    }
}
