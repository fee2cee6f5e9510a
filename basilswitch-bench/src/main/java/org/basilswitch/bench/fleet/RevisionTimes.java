package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.List;
import java.util.TreeMap;

import org.basilswitch.store.PlatformStore;
import org.basilswitch.time.SimulatedTime;

/** Remembers when each revision was written, as a stand-in for acknowledgements by the entry hosts. */
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

    /** Whether a revision was written at least so long ago. */
    boolean isOlderThan(long revision, Duration age) {
        Long written = writtenNanos.get(revision);
        return written != null && time.monotonicNanos() - written >= age.toNanos();
    }
}
