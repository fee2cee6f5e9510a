package org.basilswitch.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;

/**
 * The platform's key-value service: compare-and-swap transactions, leases and watches over an ordered key space
 * with one global revision, as published for the etcd v3 API.
 *
 * <p>Every stage completes normally, on the caller's event loop; failures are the left side.
 */
public interface PlatformStore {

    /** Reads one key. */
    CompletionStage<Either<StoreError, Optional<Entry>>> get(String key);

    /** Reads all keys with a prefix, in key order, at one revision. */
    CompletionStage<Either<StoreError, Range>> range(String prefix);

    /** Applies a transaction: all of its writes when every comparison holds, otherwise none. */
    CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction);

    /** Grants a lease; keys attached to it are deleted when it lapses. */
    CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive);

    /** Extends a lease by its time to live; the left side is {@link StoreError.Refused} when it has lapsed. */
    CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId);

    /** Revokes a lease and deletes its keys. */
    CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId);

    /**
     * Watches a prefix from a revision on. The store resumes by itself after interruptions.
     *
     * @param prefix key prefix
     * @param fromRevision first revision to deliver
     * @param listener receives batches in revision order
     * @return closes the watch
     */
    Watch watch(String prefix, long fromRevision, WatchListener listener);

    /** One key with its value. */
    record Entry(String key, byte[] value, long createRevision, long modRevision) {}

    /** The entries of a prefix at a revision of the store. */
    record Range(long revision, List<Entry> entries) {}

    /** An open watch. */
    interface Watch extends AutoCloseable {
        @Override
        void close();
    }

    /** Receives a watch's events. */
    interface WatchListener {
        /** Delivers changes of one or more revisions, complete up to {@code revision}. */
        void onChanges(long revision, List<Change> changes);

        /** The history was compacted: the listener has to read the prefix again and watch from there. */
        void onCompacted(long compactRevision);
    }

    /** A put, with a value, or a deletion, without. */
    record Change(String key, Optional<Entry> entry, long modRevision) {}
}
