package org.basilswitch.intake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.vavr.control.Either;
import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.schedule.JobConfigurationSnapshot;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Follows the configuration's record by reading it at an interval, so that its age is always known.
 *
 * <p>A watch would not do: one that hears nothing can't be told from one that has been cut off.
 */
public final class JobConfigurationFollower {
    /** A third of the shortest time in which a configuration has to be in force. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(650);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);
    /** A record of this size, in base64, takes a fortieth of a link of 10 Mbit/s when it is read at the interval, bytes. */
    private static final int LARGE_RECORD_BYTES = 16_384;

    private final PlatformStore store;
    private final String key;
    private final Function<byte[], Optional<JobConfiguration>> decoder;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private Optional<JobConfigurationSnapshot> view = Optional.empty();
    private List<CompletableFuture<Void>> waiting = new ArrayList<>();
    private int recordBytes;
    private boolean checkFailed;
    private boolean reading;
    private boolean failing;

    private JobConfigurationFollower(
            PlatformStore store,
            String key,
            Function<byte[], Optional<JobConfiguration>> decoder,
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
    public static JobConfigurationFollower start(
            PlatformStore store,
            String key,
            Function<byte[], Optional<JobConfiguration>> decoder,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry) {
        JobConfigurationFollower follower =
                new JobConfigurationFollower(store, key, decoder, clock, scheduler, telemetry);
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
        boolean check = view.isPresent() && recordBytes >= LARGE_RECORD_BYTES && !checkFailed;
        CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> newest = check ? check() : store.get(key);
        Completions.then(newest, telemetry, "configuration", result -> {
            reading = false;
            checkFailed = check && result.isLeft();
            result.peek(entry -> onEntry(entry, askedNanos)).peekLeft(error -> onFailure(error.detail()));
            served.forEach(done -> done.complete(null));
            if (!waiting.isEmpty() && !reading) {
                read();
            }
        });
    }

    /**
     * Has the store compare the record's revision with the known one; the record itself comes back only when it has
     * changed. A commit without writes is one small call, while the record of a thousand queues fills a slow link.
     */
    private CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> check() {
        JobConfigurationSnapshot known = view.orElseThrow();
        Transaction transaction =
                Transaction.builder().compare(key, known.revision()).build();
        return store.commit(transaction)
                .thenApply(result -> result.map(outcome -> switch (outcome) {
                    case CommitResult.Committed unchanged ->
                        Optional.of(new PlatformStore.Entry(key, new byte[0], known.revision(), known.revision()));
                    case CommitResult.Conflict changed -> changed.current().get(0);
                }));
    }

    private void onEntry(Optional<PlatformStore.Entry> entry, long askedNanos) {
        if (entry.isEmpty()) {
            onFailure("there is no configuration yet");
            return;
        }
        failing = false;
        long revision = entry.get().modRevision();
        if (view.isPresent() && revision <= view.get().revision()) {
            view = Optional.of(new JobConfigurationSnapshot(
                    view.get().configuration(), view.get().revision(), askedNanos));
            return;
        }
        recordBytes = entry.get().value().length;
        Optional<JobConfiguration> site = decoder.apply(entry.get().value());
        if (site.isEmpty()) {
            onFailure("revision " + revision + " can't be decoded");
            return;
        }
        view = Optional.of(new JobConfigurationSnapshot(site.get(), revision, askedNanos));
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
    public Optional<JobConfigurationSnapshot> view() {
        return view;
    }

    /** Whether the configuration was the newest within a time from now. */
    public boolean confirmedWithin(Duration age) {
        return view.isPresent() && clock.monotonicNanos() - view.get().confirmedNanos() <= age.toNanos();
    }
}
