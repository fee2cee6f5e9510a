package org.basilswitch.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * An in-memory key-value store with revisions, transactions, leases, history and watches.
 *
 * <p>Calls return at once and never fail. {@link MemoryStoreClient} adds delays and faults, and the stand-in store
 * serves it over HTTP. Not thread-safe.
 */
public final class MemoryStore {
    private final Clock clock;
    private final Scheduler scheduler;
    private final TreeMap<String, StoredEntry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<ChangeBatch> history = new ArrayList<>();
    private long revision = 1;
    private long compactRevision;
    private long nextLeaseId = 1;

    private MemoryStore(Clock clock, Scheduler scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Creates an empty store. */
    public static MemoryStore create(Clock clock, Scheduler scheduler) {
        return new MemoryStore(clock, scheduler);
    }

    /** Returns the current revision. */
    public long revision() {
        return revision;
    }

    /** Returns the revision up to which the history is compacted; a watch must start after it. */
    public long compactRevision() {
        return compactRevision;
    }

    /** Returns the entry of a key; empty when the key does not exist. */
    public Optional<PlatformStore.Entry> get(String key) {
        return Optional.ofNullable(entries.get(key)).map(StoredEntry::entry);
    }

    /** Returns the entries of all keys with a prefix, in key order. */
    public PlatformStore.Range range(String prefix) {
        List<PlatformStore.Entry> found = new ArrayList<>();
        for (Map.Entry<String, StoredEntry> entry :
                entries.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            found.add(entry.getValue().entry());
        }
        return new PlatformStore.Range(revision, found);
    }

    /** Applies a transaction. The caller checks with {@link #expiredLease} that the leases of its puts exist. */
    public CommitResult commit(Transaction transaction) {
        List<Optional<PlatformStore.Entry>> current = new ArrayList<>();
        boolean allHold = true;
        for (Transaction.Compare compare : transaction.compares()) {
            Optional<PlatformStore.Entry> entry = get(compare.key());
            current.add(entry);
            long modRevision = entry.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
            allHold &= modRevision == compare.modRevision();
        }
        if (!allHold) {
            return new CommitResult.Conflict(revision, current);
        }
        apply(transaction.writes());
        return new CommitResult.Committed(revision);
    }

    private void apply(List<Transaction.Write> writes) {
        if (writes.isEmpty()) {
            return;
        }
        revision++;
        List<PlatformStore.Change> changes = new ArrayList<>();
        for (Transaction.Write write : writes) {
            switch (write) {
                case Transaction.Put put -> changes.add(put(put));
                case Transaction.Delete delete -> delete(delete.key()).ifPresent(changes::add);
            }
        }
        ChangeBatch batch = new ChangeBatch(revision, List.copyOf(changes));
        history.add(batch);
        List.copyOf(watchers).forEach(watcher -> watcher.deliver(batch));
    }

    private PlatformStore.Change put(Transaction.Put put) {
        StoredEntry old = entries.get(put.key());
        long createRevision = old == null ? revision : old.entry().createRevision();
        PlatformStore.Entry entry = new PlatformStore.Entry(put.key(), put.value(), createRevision, revision);
        entries.put(put.key(), new StoredEntry(entry, put.leaseId()));
        return new PlatformStore.Change(put.key(), Optional.of(entry), revision);
    }

    private Optional<PlatformStore.Change> delete(String key) {
        return entries.remove(key) == null
                ? Optional.empty()
                : Optional.of(new PlatformStore.Change(key, Optional.empty(), revision));
    }

    /** Grants a lease and returns its id. */
    public long grantLease(Duration timeToLive) {
        Lease lease = new Lease(nextLeaseId++, timeToLive);
        leases.put(lease.id, lease);
        lease.extend();
        return lease.id;
    }

    /** Extends a lease by its time to live; returns false when it has expired. */
    public boolean keepAlive(long leaseId) {
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return false;
        }
        lease.extend();
        return true;
    }

    /** Ends a lease and deletes its keys; returns false when it has expired already. */
    public boolean revokeLease(long leaseId) {
        if (leases.remove(leaseId) == null) {
            return false;
        }
        List<Transaction.Write> deletes = new ArrayList<>();
        entries.forEach((key, stored) -> {
            if (stored.leaseId().isPresent() && stored.leaseId().getAsLong() == leaseId) {
                deletes.add(new Transaction.Delete(key));
            }
        });
        apply(deletes);
        return true;
    }

    /** Returns whether a lease was granted and has neither expired nor been revoked. */
    public boolean hasLease(long leaseId) {
        return leases.containsKey(leaseId);
    }

    /** Returns the first lease named by a transaction's puts that does not exist; empty when all exist. */
    public OptionalLong expiredLease(Transaction transaction) {
        for (Transaction.Write write : transaction.writes()) {
            if (write instanceof Transaction.Put put
                    && put.leaseId().isPresent()
                    && !hasLease(put.leaseId().getAsLong())) {
                return put.leaseId();
            }
        }
        return OptionalLong.empty();
    }

    /** Discards the history up to a revision; a watch that starts at or before it is reported as compacted. */
    public void compact(long upToRevision) {
        compactRevision = Math.max(compactRevision, upToRevision);
        history.removeIf(batch -> batch.revision() <= upToRevision);
    }

    /** Watches a prefix; changes that have already happened are delivered during this call. */
    public PlatformStore.Watch watch(String prefix, long fromRevision, PlatformStore.WatchListener listener) {
        Watcher watcher = new Watcher(prefix, listener);
        if (fromRevision <= compactRevision) {
            listener.onCompacted(compactRevision);
            return watcher;
        }
        for (ChangeBatch batch : List.copyOf(history)) {
            if (batch.revision() >= fromRevision) {
                watcher.deliver(batch);
            }
        }
        watchers.add(watcher);
        return watcher;
    }

    private record StoredEntry(PlatformStore.Entry entry, OptionalLong leaseId) {}

    private record ChangeBatch(long revision, List<PlatformStore.Change> changes) {}

    private final class Watcher implements PlatformStore.Watch {
        private final String prefix;
        private final PlatformStore.WatchListener listener;

        private Watcher(String prefix, PlatformStore.WatchListener listener) {
            this.prefix = prefix;
            this.listener = listener;
        }

        private void deliver(ChangeBatch batch) {
            List<PlatformStore.Change> matching = batch.changes().stream()
                    .filter(change -> change.key().startsWith(prefix))
                    .toList();
            if (!matching.isEmpty()) {
                listener.onChanges(batch.revision(), matching);
            }
        }

        @Override
        public void close() {
            watchers.remove(this);
        }
    }

    private final class Lease {
        private final long id;
        private final Duration timeToLive;
        private long expiresNanos;

        private Lease(long id, Duration timeToLive) {
            this.id = id;
            this.timeToLive = timeToLive;
        }

        private void extend() {
            expiresNanos = clock.monotonicNanos() + timeToLive.toNanos();
            scheduler.schedule(timeToLive, this::expireWhenDue);
        }

        private void expireWhenDue() {
            if (clock.monotonicNanos() >= expiresNanos) {
                revokeLease(id);
            }
        }
    }
}
