package org.basilswitch.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.PeerMessage.ConfigurationUpdate;
import org.basilswitch.peer.PeerMessage.RecordChange;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Scheduler;

/**
 * Maintains an entry host's view of the configuration and members records. It reads the prefix once and then applies
 * changes from a store watch or from peers' updates.
 *
 * <p>Two revisions describe the view. The view is complete up to {@link #revision}; {@link #knownRevision} is the
 * newest change that it is known to contain. They differ because a prefix read does not return the revisions of
 * deletions, and because the store's revision also counts writes outside the configuration. Neither decreases.
 */
public final class ConfigurationFollower implements AutoCloseable {
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final String prefix;
    private final String membersKey;
    private final PlatformStore store;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Map<String, StoredRecord> storedRecords = new HashMap<>();
    private final ChangeHistory history = new ChangeHistory();
    private final List<Consumer<SiteConfiguration>> listeners = new ArrayList<>();
    private final List<Consumer<ConfigurationUpdate>> updateListeners = new ArrayList<>();
    private SiteConfiguration current = SiteConfiguration.empty();
    private Optional<PlatformStore.Watch> watch = Optional.empty();
    private long knownRevision;
    private boolean watching = true;
    private boolean reading;
    private boolean loaded;
    private boolean closed;

    private ConfigurationFollower(StoreKeys keys, PlatformStore store, Scheduler scheduler, Telemetry telemetry) {
        this.prefix = keys.configuration();
        this.membersKey = keys.members();
        this.store = store;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
    }

    /** Creates a follower of a site's configuration. */
    public static ConfigurationFollower create(
            StoreKeys keys, PlatformStore store, Scheduler scheduler, Telemetry telemetry) {
        return new ConfigurationFollower(keys, store, scheduler, telemetry);
    }

    /** Starts reading the configuration; failed reads are retried until one succeeds. */
    public void start() {
        if (reading || closed) {
            return;
        }
        reading = true;
        store.range(prefix).thenAccept(this::onRange);
    }

    private void onRange(Either<StoreError, PlatformStore.Range> result) {
        reading = false;
        if (closed) {
            return;
        }
        result.peek(this::load).peekLeft(error -> {
            telemetry.event(EventCode.CONFIGURATION_READ_FAILED, error.toString());
            scheduler.schedule(RETRY_DELAY, this::start);
        });
    }

    private void load(PlatformStore.Range range) {
        if (range.revision() < revision()) {
            scheduler.schedule(RETRY_DELAY, this::start);
            return;
        }
        List<RecordChange> changes = range.entries().stream()
                .map(entry -> new RecordChange(entry.key(), Optional.of(entry.value()), entry.modRevision()))
                .toList();
        replaceAll(changes, range.revision(), 0);
        telemetry.event(
                EventCode.CONFIGURATION_LOADED, "revision=" + range.revision() + " records=" + storedRecords.size());
        openWatch();
    }

    private void replaceAll(List<RecordChange> changes, long toRevision, long newKnownRevision) {
        storedRecords.clear();
        SiteConfiguration.Builder view = SiteConfiguration.empty().toBuilder();
        history.restart(toRevision);
        long newest = newKnownRevision;
        for (RecordChange change : changes) {
            apply(change, view);
            newest = Math.max(newest, change.modRevision());
        }
        loaded = true;
        publish(view.build(toRevision), newest);
    }

    private void apply(RecordChange change, SiteConfiguration.Builder view) {
        if (change.value().isEmpty()) {
            storedRecords.remove(change.key());
            String[] parts = change.key().substring(prefix.length()).split("/", 2);
            view.remove(parts[0], parts[parts.length - 1]);
            return;
        }
        byte[] value = change.value().get();
        storedRecords.put(change.key(), new StoredRecord(change.key(), value, change.modRevision()));
        if (change.key().equals(membersKey)) {
            return;
        }
        PlatformStore.Entry entry = new PlatformStore.Entry(change.key(), value, 0, change.modRevision());
        SiteConfiguration.decode(prefix, entry)
                .ifPresentOrElse(
                        view::put,
                        () -> telemetry.event(EventCode.CONFIGURATION_RECORD_INVALID, "key=" + change.key()));
    }

    private void publish(SiteConfiguration view, long newKnownRevision) {
        knownRevision = Math.max(knownRevision, newKnownRevision);
        current = view;
        List.copyOf(listeners).forEach(listener -> listener.accept(current));
    }

    /** Sets whether this host watches the store itself; when it does not, it relies on updates relayed by a peer. */
    public void setWatching(boolean watching) {
        if (this.watching == watching) {
            return;
        }
        this.watching = watching;
        if (watching) {
            openWatch();
        } else {
            closeWatch();
        }
    }

    private void openWatch() {
        if (watching && loaded && watch.isEmpty()) {
            watch = Optional.of(store.watch(prefix, revision() + 1, new StoreWatchListener()));
        }
    }

    private void closeWatch() {
        watch.ifPresent(PlatformStore.Watch::close);
        watch = Optional.empty();
    }

    /**
     * Applies a peer's update. An update is ignored when it is not newer than this view, or when changes between this
     * view and the update are missing.
     */
    public void applyPeerUpdate(ConfigurationUpdate update) {
        if (closed || !loaded || update.toRevision() <= revision()) {
            return;
        }
        if (update.fromRevision() == 0) {
            replaceAll(update.changes(), update.toRevision(), update.knownRevision());
        } else if (update.fromRevision() <= revision()) {
            advance(update.changes(), update.toRevision(), update.knownRevision());
        } else {
            return;
        }
        telemetry.event(EventCode.CONFIGURATION_RELAYED, "revision=" + update.toRevision());
    }

    private void advance(List<RecordChange> changes, long toRevision, long newKnownRevision) {
        SiteConfiguration.Builder view = current.toBuilder();
        for (RecordChange change : changes) {
            if (change.modRevision() > revision()) {
                apply(change, view);
                history.add(change);
            }
        }
        publish(view.build(toRevision), newKnownRevision);
    }

    /**
     * Returns the update that brings a peer from a revision up to this view: the changes since then, or all records when
     * the revision is 0 or the history no longer reaches back to it.
     */
    public ConfigurationUpdate updateSince(long revision) {
        Optional<List<RecordChange>> changes = revision == 0 ? Optional.empty() : history.changesAfter(revision);
        return changes.map(found -> new ConfigurationUpdate(revision, revision(), knownRevision, found))
                .orElseGet(() -> new ConfigurationUpdate(0, revision(), knownRevision, allRecords()));
    }

    private List<RecordChange> allRecords() {
        return storedRecords.values().stream()
                .map(stored -> new RecordChange(stored.key(), Optional.of(stored.value()), stored.modRevision()))
                .toList();
    }

    /** Raises {@link #knownRevision} to a change's revision; ignored when this view is not complete up to it. */
    public void advanceKnownRevision(long revision) {
        if (revision <= revision()) {
            knownRevision = Math.max(knownRevision, revision);
        }
    }

    /** Returns the store revision up to which this view is complete. */
    public long revision() {
        return current.revision();
    }

    /** Returns the revision of the newest record change that this view is known to contain. */
    public long knownRevision() {
        return knownRevision;
    }

    /** Returns the value of the members record; empty when there is none. */
    public Optional<byte[]> membersValue() {
        return Optional.ofNullable(storedRecords.get(membersKey)).map(StoredRecord::value);
    }

    /** Returns the revision of the members record's last change; 0 when there is none. */
    public long membersRevision() {
        return Optional.ofNullable(storedRecords.get(membersKey))
                .map(StoredRecord::modRevision)
                .orElse(0L);
    }

    /** Returns the newest view. */
    public SiteConfiguration current() {
        return current;
    }

    /** Returns whether the configuration has been read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Registers a callback that receives each new view. */
    public void onChange(Consumer<SiteConfiguration> listener) {
        listeners.add(listener);
    }

    /** Registers a callback that receives the changes delivered by the store watch, for relaying them to peers. */
    public void onWatchUpdate(Consumer<ConfigurationUpdate> listener) {
        updateListeners.add(listener);
    }

    @Override
    public void close() {
        closed = true;
        closeWatch();
    }

    private final class StoreWatchListener implements PlatformStore.WatchListener {
        @Override
        public void onChanges(long toRevision, List<PlatformStore.Change> batch) {
            if (closed || toRevision <= revision()) {
                return;
            }
            long fromRevision = revision();
            List<RecordChange> changes = batch.stream()
                    .map(change -> new RecordChange(
                            change.key(), change.entry().map(PlatformStore.Entry::value), change.modRevision()))
                    .toList();
            advance(changes, toRevision, toRevision);
            telemetry.event(EventCode.CONFIGURATION_APPLIED, "revision=" + toRevision + " changes=" + changes.size());
            ConfigurationUpdate update = new ConfigurationUpdate(fromRevision, toRevision, toRevision, changes);
            updateListeners.forEach(listener -> listener.accept(update));
        }

        @Override
        public void onCompacted(long compactRevision) {
            telemetry.event(EventCode.CONFIGURATION_COMPACTED, "revision=" + compactRevision);
            closeWatch();
            start();
        }
    }
}
