package org.basilswitch.store;

import java.util.List;
import java.util.Optional;

/** The outcome of a transaction, as reported by the store. */
public sealed interface CommitResult {

    /** All comparisons held and all writes were applied at this store revision. */
    record Committed(long revision) implements CommitResult {}

    /** A comparison failed and nothing was written; {@code current} holds the compared keys' entries, in order. */
    record Conflict(long revision, List<Optional<PlatformStore.Entry>> current) implements CommitResult {}
}
