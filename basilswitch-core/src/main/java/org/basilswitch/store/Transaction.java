package org.basilswitch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A compare-and-swap transaction: comparisons of modification revisions, and writes applied when all of them hold. */
public record Transaction(List<Compare> compares, List<Write> writes) {

    /** Modification revision that stands for a key that does not exist. */
    public static final long ABSENT = 0;

    /** Makes immutable copies of the lists. */
    public Transaction {
        compares = List.copyOf(compares);
        writes = List.copyOf(writes);
    }

    /** Requires that a key has a modification revision; {@link #ABSENT} requires that the key does not exist. */
    public record Compare(String key, long modRevision) {}

    /** A write of one key. */
    public sealed interface Write {
        /** Returns the key that is written. */
        String key();
    }

    /** Stores a value; with a lease, the key is deleted when the lease expires. */
    public record Put(String key, byte[] value, OptionalLong leaseId) implements Write {}

    /** Deletes a key. */
    public record Delete(String key) implements Write {}

    /** Starts building a transaction. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects comparisons and writes. */
    public static final class Builder {
        private final List<Compare> compares = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        private Builder() {}

        /** Requires that a key has a modification revision, or does not exist if it is {@link #ABSENT}. */
        public Builder compare(String key, long modRevision) {
            compares.add(new Compare(key, modRevision));
            return this;
        }

        /** Adds a put without a lease. */
        public Builder put(String key, byte[] value) {
            writes.add(new Put(key, value, OptionalLong.empty()));
            return this;
        }

        /** Adds a put attached to a lease. */
        public Builder put(String key, byte[] value, long leaseId) {
            writes.add(new Put(key, value, OptionalLong.of(leaseId)));
            return this;
        }

        /** Adds a deletion. */
        public Builder delete(String key) {
            writes.add(new Delete(key));
            return this;
        }

        /** Builds the transaction. */
        public Transaction build() {
            return new Transaction(compares, writes);
        }
    }
}
