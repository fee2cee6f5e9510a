package org.basilswitch.store;

import java.util.List;
import java.util.Optional;

/** The outcome of a transaction that the store has answered. */
public sealed interface CommitResult {

    /** All writes were applied at this revision of the store. */
    record Committed(long revision) implements CommitResult {}

    /** A comparison failed and nothing was written; the current entries of the compared keys, in order. */
    record Conflict(long revision, List<Optional<PlatformStore.Entry>> current) implements CommitResult {}
}
