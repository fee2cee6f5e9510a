package org.basilswitch.intake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobSite;
import org.basilswitch.schedule.SiteView;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Follows the configuration's record by reading it at an interval, so that its age is always known.
 *
 * <p>A watch would not do: one that hears nothing can't be told from one that has been cut off.
 */
public final class SiteFollower {
    /** A third of the shortest time in which a configuration has to be in force. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(650);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);

    private final PlatformStore store;
    private final String key;
    private final Function<byte[], Optional<JobSite>> decoder;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private Optional<SiteView> view = Optional.empty();
    private List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private boolean reading;
    private boolean failing;

    private SiteFollower(
            PlatformStore store,
            String key,
            Function<byte[], Optional<JobSite>> decoder,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry) {
        this.store = store;
        this.key = key;
        this.decoder = decoder;
        this.clock = clock;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
    }

    /** Starts following a record. */
    public static SiteFollower start(
            PlatformStore store,
            String key,
            Function<byte[], Optional<JobSite>> decoder,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry) {
        SiteFollower follower = new SiteFollower(store, key, decoder, clock, scheduler, telemetry);
        follower.poll();
        return follower;
    }

    private void poll() {
        Completions.then(
                refresh(),
                telemetry,
                "configuration",
                done -> scheduler.schedule(failing ? RETRY_INTERVAL : READ_INTERVAL, this::poll));
    }

    /** Reads the record again; completes when a read that began after the call has ended, well or not. */
    public CompletionStage<Void> refresh() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        waiting.add(done);
        if (!reading) {
            read();
        }
        return done;
    }

    private void read() {
        reading = true;
        List<CompletableFuture<Void>> served = waiting;
        waiting = new ArrayList<>();
        long askedNanos = clock.monotonicNanos();
        Completions.then(store.get(key), telemetry, "configuration", result -> {
            reading = false;
            result.peek(entry -> onEntry(entry, askedNanos)).peekLeft(error -> onFailure(error.detail()));
            served.forEach(done -> done.complete(null));
            if (!waiting.isEmpty() && !reading) {
                read();
            }
        });
    }

    private void onEntry(Optional<PlatformStore.Entry> entry, long askedNanos) {
        if (entry.isEmpty()) {
            onFailure("there is no configuration yet");
            return;
        }
        failing = false;
        long revision = entry.get().modRevision();
        if (view.isPresent() && revision <= view.get().revision()) {
            view = Optional.of(new SiteView(view.get().site(), view.get().revision(), askedNanos));
            return;
        }
        Optional<JobSite> site = decoder.apply(entry.get().value());
        if (site.isEmpty()) {
            onFailure("revision " + revision + " can't be decoded");
            return;
        }
        view = Optional.of(new SiteView(site.get(), revision, askedNanos));
        telemetry.event(
                EventCode.SITE_LOADED,
                "version=" + site.get().version() + " revision=" + revision + " queues="
                        + site.get().queues().size());
    }

    private void onFailure(String detail) {
        if (!failing) {
            failing = true;
            telemetry.event(EventCode.SITE_UNREADABLE, detail);
        }
    }

    /** The newest configuration; empty until one has been read. */
    public Optional<SiteView> view() {
        return view;
    }

    /** Whether the configuration was the newest within a time from now. */
    public boolean confirmedWithin(Duration age) {
        return view.isPresent() && clock.monotonicNanos() - view.get().confirmedNanos() <= age.toNanos();
    }
}
