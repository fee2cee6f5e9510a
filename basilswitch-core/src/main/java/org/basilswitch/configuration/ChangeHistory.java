package org.basilswitch.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.basilswitch.peer.PeerMessage.RecordChange;

/** A bounded history of the newest configuration changes, sent to peers whose view lags behind. */
final class ChangeHistory {
    private static final int MAX_CHANGES = 512;

    private final Deque<RecordChange> changes = new ArrayDeque<>();
    private long completeFromRevision;

    /** Clears the history; it is then complete for changes after the revision. */
    void restart(long revision) {
        changes.clear();
        completeFromRevision = revision;
    }

    void add(RecordChange change) {
        changes.addLast(change);
        if (changes.size() > MAX_CHANGES) {
            completeFromRevision = changes.removeFirst().modRevision();
        }
    }

    /** Returns all changes after a revision; empty when some of them have been discarded. */
    Optional<List<RecordChange>> changesAfter(long revision) {
        if (revision < completeFromRevision) {
            return Optional.empty();
        }
        List<RecordChange> found = new ArrayList<>();
        for (RecordChange change : changes) {
            if (change.modRevision() > revision) {
                found.add(change);
            }
        }
        return Optional.of(found);
    }
}
