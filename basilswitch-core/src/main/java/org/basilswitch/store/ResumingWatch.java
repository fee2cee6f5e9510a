package org.basilswitch.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.basilswitch.time.Scheduler;

/** A watch of a {@link MemoryStore} that is interrupted while its client is disconnected and resumes afterwards. */
final class ResumingWatch implements PlatformStore.Watch, PlatformStore.WatchListener {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final MemoryStore store;
    private final Scheduler scheduler;
    private final String prefix;
    private final PlatformStore.WatchListener listener;
    private final BooleanSupplier reachable;
    private final Duration oneWayDelay;
    private Optional<PlatformStore.Watch> storeWatch = Optional.empty();
    private long nextRevision;
    private boolean closed;

    private ResumingWatch(
            MemoryStore store,
            Scheduler scheduler,
            String prefix,
            long fromRevision,
            PlatformStore.WatchListener listener,
            BooleanSupplier reachable,
            Duration oneWayDelay) {
        this.store = store;
        this.scheduler = scheduler;
        this.prefix = prefix;
        this.nextRevision = fromRevision;
        this.listener = listener;
        this.reachable = reachable;
        this.oneWayDelay = oneWayDelay;
    }

    static ResumingWatch open(
            MemoryStore store,
            Scheduler scheduler,
            String prefix,
            long fromRevision,
            PlatformStore.WatchListener listener,
            BooleanSupplier reachable,
            Duration oneWayDelay) {
        ResumingWatch watch =
                new ResumingWatch(store, scheduler, prefix, fromRevision, listener, reachable, oneWayDelay);
        scheduler.schedule(oneWayDelay, watch::poll);
        return watch;
    }

    private void poll() {
        if (closed) {
            return;
        }
        if (reachable.getAsBoolean() && storeWatch.isEmpty()) {
            storeWatch = Optional.of(store.watch(prefix, nextRevision, this));
        } else if (!reachable.getAsBoolean()) {
            closeStoreWatch();
        }
        scheduler.schedule(POLL_INTERVAL, this::poll);
    }

    private void closeStoreWatch() {
        storeWatch.ifPresent(PlatformStore.Watch::close);
        storeWatch = Optional.empty();
    }

    @Override
    public void onChanges(long revision, List<PlatformStore.Change> changes) {
        if (!reachable.getAsBoolean()) {
            closeStoreWatch();
            return;
        }
        nextRevision = revision + 1;
        scheduler.schedule(oneWayDelay, () -> {
            if (!closed) {
                listener.onChanges(revision, changes);
            }
        });
    }

    @Override
    public void onCompacted(long compactRevision) {
        closed = true;
        scheduler.schedule(oneWayDelay, () -> listener.onCompacted(compactRevision));
    }

    @Override
    public void close() {
        closed = true;
        closeStoreWatch();
    }
}
