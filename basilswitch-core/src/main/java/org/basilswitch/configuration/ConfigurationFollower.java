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
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Scheduler;

/** Follows the configuration records in the store: one read, then a watch; its view's revision never goes back. */
public final class ConfigurationFollower implements AutoCloseable {
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final String prefix;
    private final PlatformStore store;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Map<String, ConfigurationRecord> records = new HashMap<>();
    private final List<Consumer<SiteConfiguration>> listeners = new ArrayList<>();
    private SiteConfiguration current = SiteConfiguration.empty();
    private Optional<PlatformStore.Watch> watch = Optional.empty();
    private boolean loaded;
    private boolean closed;

    private ConfigurationFollower(StoreKeys keys, PlatformStore store, Scheduler scheduler, Telemetry telemetry) {
        this.prefix = keys.configuration();
        this.store = store;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
    }

    /** Creates a follower of a site's configuration. */
    public static ConfigurationFollower create(
            StoreKeys keys, PlatformStore store, Scheduler scheduler, Telemetry telemetry) {
        return new ConfigurationFollower(keys, store, scheduler, telemetry);
    }

    /** Starts reading; goes on trying until the store answers. */
    public void start() {
        store.range(prefix).thenAccept(this::onRange);
    }

    private void onRange(Either<StoreError, PlatformStore.Range> result) {
        if (closed) {
            return;
        }
        result.peek(this::load).peekLeft(error -> {
            telemetry.event(EventCode.CONFIGURATION_READ_FAILED, error.toString());
            scheduler.schedule(RETRY_DELAY, this::start);
        });
    }

    private void load(PlatformStore.Range range) {
        if (range.revision() < current.revision()) {
            scheduler.schedule(RETRY_DELAY, this::start);
            return;
        }
        records.clear();
        range.entries().forEach(this::put);
        loaded = true;
        publish(range.revision());
        telemetry.event(EventCode.CONFIGURATION_LOADED, "revision=" + range.revision() + " records=" + records.size());
        watch = Optional.of(store.watch(prefix, range.revision() + 1, new Changes()));
    }

    private void put(PlatformStore.Entry entry) {
        SiteConfiguration.decode(prefix, entry)
                .ifPresentOrElse(
                        record -> records.put(entry.key(), record),
                        () -> telemetry.event(EventCode.CONFIGURATION_RECORD_INVALID, "key=" + entry.key()));
    }

    private void publish(long revision) {
        current = SiteConfiguration.of(revision, records.values());
        listeners.forEach(listener -> listener.accept(current));
    }

    /** The view in force. */
    public SiteConfiguration current() {
        return current;
    }

    /** Whether a configuration has been read. */
    public boolean loaded() {
        return loaded;
    }

    /** Registers a callback that is run with each new view. */
    public void onChange(Consumer<SiteConfiguration> listener) {
        listeners.add(listener);
    }

    @Override
    public void close() {
        closed = true;
        watch.ifPresent(PlatformStore.Watch::close);
    }

    private final class Changes implements PlatformStore.WatchListener {
        @Override
        public void onChanges(long revision, List<PlatformStore.Change> changes) {
            if (closed || revision <= current.revision()) {
                return;
            }
            for (PlatformStore.Change change : changes) {
                change.entry().ifPresentOrElse(ConfigurationFollower.this::put, () -> records.remove(change.key()));
            }
            publish(revision);
            telemetry.event(EventCode.CONFIGURATION_APPLIED, "revision=" + revision + " changes=" + changes.size());
        }

        @Override
        public void onCompacted(long compactRevision) {
            telemetry.event(EventCode.CONFIGURATION_COMPACTED, "revision=" + compactRevision);
            watch.ifPresent(PlatformStore.Watch::close);
            start();
        }
    }
}
