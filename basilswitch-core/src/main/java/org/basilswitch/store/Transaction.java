package org.basilswitch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Comparisons of modification revisions, and the writes applied when all of them hold. */
public record Transaction(List<Compare> compares, List<Write> writes) {

    /** Revision of a key that does not exist. */
    public static final long ABSENT = 0;

    /** Copies the lists. */
    public Transaction {
        compares = List.copyOf(compares);
        writes = List.copyOf(writes);
    }

    /** Requires a key's modification revision; {@link #ABSENT} requires that it does not exist. */
    public record Compare(String key, long modRevision) {}

    /** One write. */
    public sealed interface Write {
        /** The key written. */
        String key();
    }

    /** Stores a value, attached to a lease when one is given. */
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

        /** Requires a key's modification revision. */
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
