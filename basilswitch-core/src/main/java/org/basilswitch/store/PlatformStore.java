package org.basilswitch.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;

/**
 * The platform's key-value service: compare-and-swap transactions, leases and watches over an ordered key space
 * with one global revision. The semantics are those of the etcd v3 API.
 *
 * <p>Every stage completes normally, on the caller's event loop; a failure is the left side of the result.
 */
public interface PlatformStore {

    /** Reads the entry of a key; empty when the key does not exist. */
    CompletionStage<Either<StoreError, Optional<Entry>>> get(String key);

    /** Reads the entries of all keys with a prefix, in key order, at one revision. */
    CompletionStage<Either<StoreError, Range>> range(String prefix);

    /** Applies all writes of a transaction when every comparison holds, and none otherwise. */
    CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction);

    /** Grants a lease and returns its id; keys attached to the lease are deleted when it expires. */
    CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive);

    /** Extends a lease by its time to live; the left side is {@link StoreError.Refused} when it has expired. */
    CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId);

    /** Revokes a lease and deletes its keys. */
    CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId);

    /**
     * Watches a prefix from a revision on. An interrupted watch resumes automatically.
     *
     * @param prefix key prefix
     * @param fromRevision first revision to deliver
     * @param listener receives batches in revision order
     * @return handle that closes the watch
     */
    Watch watch(String prefix, long fromRevision, WatchListener listener);

    /** A key with its value and the revisions of its creation and last modification. */
    record Entry(String key, byte[] value, long createRevision, long modRevision) {}

    /** The entries of a prefix at a store revision. */
    record Range(long revision, List<Entry> entries) {}

    /** An open watch. */
    interface Watch extends AutoCloseable {
        @Override
        void close();
    }

    /** Receives the changes of a watch. */
    interface WatchListener {
        /** Receives the changes of one or more revisions, complete up to {@code revision}. */
        void onChanges(long revision, List<Change> changes);

        /** Reports that the watched revisions are compacted: the prefix must be read again and watched from there. */
        void onCompacted(long compactRevision);
    }

    /** A change of a key; {@code entry} is empty when the key was deleted. */
    record Change(String key, Optional<Entry> entry, long modRevision) {}
}
