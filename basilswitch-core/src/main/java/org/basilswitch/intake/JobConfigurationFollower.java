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
 * Polls the configuration record and keeps the latest snapshot with the time at which it was last confirmed.
 *
 * <p>A watch is not used: a watch without changes can't be distinguished from a watch whose connection is lost, so it
 * does not bound the age of the configuration.
 */
public final class JobConfigurationFollower {
    /** A third of the shortest time within which a configuration has to be in force. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(650);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);
    /**
     * Size from which a record is read only when its revision has changed, bytes. In base64, a record of this size that
     * is read at the interval takes a fortieth of a 10 Mbit/s link.
     */
    private static final int CONDITIONAL_READ_MIN_BYTES = 16_384;

    private final PlatformStore store;
    private final String key;
    private final Function<byte[], Optional<JobConfiguration>> decoder;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private Optional<JobConfigurationSnapshot> snapshot = Optional.empty();
    private List<CompletableFuture<Void>> pendingRefreshes = new ArrayList<>();
    private int recordBytes;
    private boolean conditionalReadFailed;
    private boolean reading;
    private boolean lastReadFailed;
    private long undecodableRevision;

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

    /** Creates a follower and starts polling the record. */
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
        Completions.thenAcceptOrLog(
                refresh(),
                telemetry,
                "configuration",
                done -> scheduler.schedule(lastReadFailed ? RETRY_INTERVAL : READ_INTERVAL, this::poll));
    }

    /** Requests another read; completes when a read that began after this call has succeeded or failed. */
    public CompletionStage<Void> refresh() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        pendingRefreshes.add(done);
        if (!reading) {
            read();
        }
        return done;
    }

    private void read() {
        reading = true;
        List<CompletableFuture<Void>> completing = pendingRefreshes;
        pendingRefreshes = new ArrayList<>();
        long requestedAtNanos = clock.monotonicNanos();
        boolean conditional =
                snapshot.isPresent() && recordBytes >= CONDITIONAL_READ_MIN_BYTES && !conditionalReadFailed;
        Completions.thenAcceptOrLog(
                () -> conditional ? readIfChanged() : store.get(key),
                telemetry,
                "configuration",
                result -> {
                    conditionalReadFailed = conditional && result.isLeft();
                    result.peek(entry -> onEntry(entry, requestedAtNanos)).peekLeft(error -> onFailure(error.detail()));
                    complete(completing);
                },
                () -> {
                    conditionalReadFailed = conditional;
                    onFailure("reading the configuration failed with an exception");
                    complete(completing);
                });
    }

    private void complete(List<CompletableFuture<Void>> completing) {
        reading = false;
        completing.forEach(done -> done.complete(null));
        if (!pendingRefreshes.isEmpty() && !reading) {
            read();
        }
    }

    /**
     * Compares the record's revision with the known one in the store, which returns the record only when the revision
     * has changed. A commit without writes is one small call, while the record of a thousand queues fills a slow link.
     */
    private CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> readIfChanged() {
        JobConfigurationSnapshot known = snapshot.orElseThrow();
        Transaction transaction =
                Transaction.builder().compare(key, known.revision()).build();
        return store.commit(transaction)
                .thenApply(result -> result.map(outcome -> switch (outcome) {
                    case CommitResult.Committed unchanged ->
                        Optional.of(new PlatformStore.Entry(key, new byte[0], known.revision(), known.revision()));
                    case CommitResult.Conflict changed -> changed.current().get(0);
                }));
    }

    private void onEntry(Optional<PlatformStore.Entry> entry, long requestedAtNanos) {
        if (entry.isEmpty()) {
            onFailure("the configuration record does not exist");
            return;
        }
        lastReadFailed = false;
        long revision = entry.get().modRevision();
        if (snapshot.isPresent() && revision <= snapshot.get().revision()) {
            snapshot = Optional.of(new JobConfigurationSnapshot(
                    snapshot.get().configuration(), snapshot.get().revision(), requestedAtNanos));
            return;
        }
        recordBytes = entry.get().value().length;
        Optional<JobConfiguration> configuration = decoder.apply(entry.get().value());
        if (configuration.isEmpty()) {
            onUndecodable(revision, requestedAtNanos);
            return;
        }
        snapshot = Optional.of(new JobConfigurationSnapshot(configuration.get(), revision, requestedAtNanos));
        telemetry.event(
                EventCode.SITE_LOADED,
                "version=" + configuration.get().version() + " revision=" + revision + " queues="
                        + configuration.get().queues().size());
    }

    /** Keeps the last configuration in force under the new revision, so that calls and runs go on. */
    private void onUndecodable(long revision, long requestedAtNanos) {
        snapshot = snapshot.map(last -> new JobConfigurationSnapshot(last.configuration(), revision, requestedAtNanos));
        if (undecodableRevision != revision) {
            undecodableRevision = revision;
            telemetry.event(
                    EventCode.SITE_UNREADABLE,
                    "configuration revision " + revision + " can't be decoded; "
                            + snapshot.map(last -> "keeping version "
                                            + last.configuration().version())
                                    .orElse("there is no earlier one"));
        }
    }

    private void onFailure(String detail) {
        if (!lastReadFailed) {
            lastReadFailed = true;
            telemetry.event(EventCode.SITE_UNREADABLE, detail);
        }
    }

    /** Returns the latest configuration; empty until one has been read. */
    public Optional<JobConfigurationSnapshot> snapshot() {
        return snapshot;
    }

    /** Returns whether the snapshot was confirmed to be the latest at most {@code maxAge} ago. */
    public boolean confirmedWithin(Duration maxAge) {
        return snapshot.isPresent() && clock.monotonicNanos() - snapshot.get().confirmedNanos() <= maxAge.toNanos();
    }
}
