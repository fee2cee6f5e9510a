package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.basilswitch.event.Completions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Renews the lease of one server's runs and fetches its reports, one call at a time. */
final class LeaseRenewer {
    /** A server with runs answers at the latest after this time, so that a lease is renewed several times. */
    private static final Duration MAX_WAIT = Duration.ofMillis(900);
    /** Where work that fills may disturb work that serves, a report comes as often as response times are measured. */
    private static final Duration SHARED_WAIT = Duration.ofMillis(500);
    /** Ends that come within this time are fetched by one call. */
    private static final Duration MIN_CALL_INTERVAL = Duration.ofMillis(40);

    /** Without runs a hold only keeps the clock and the server's health known. */
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(1500);
    /** After a lost answer the lease is not extended until one comes; it is asked for soon. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    private final TrackedServer tracked;
    private final ServerCommands serverCommands;
    private final Telemetry telemetry;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long fencingToken;
    private final Duration lease;
    private final BooleanSupplier mayExtend;
    private final Listener listener;
    private BackendServer server;
    private Optional<Scheduler.Timer> timer = Optional.empty();
    private boolean calling;
    private boolean lastCallUnanswered;
    private boolean callAgain;
    private boolean closed;

    /** Told of each answer. */
    interface Listener {
        /** Handles an answer to a call that was sent at a monotonic time. */
        void onRenewalResult(TrackedServer tracked, long sentNanos, ServerCommands.RenewalResult result);
    }

    LeaseRenewer(
            TrackedServer tracked,
            BackendServer server,
            ServerCommands serverCommands,
            Telemetry telemetry,
            Clock clock,
            Scheduler scheduler,
            long fencingToken,
            Duration lease,
            BooleanSupplier mayExtend,
            Listener listener) {
        this.tracked = tracked;
        this.server = server;
        this.serverCommands = serverCommands;
        this.telemetry = telemetry;
        this.clock = clock;
        this.scheduler = scheduler;
        this.fencingToken = fencingToken;
        this.lease = lease;
        this.mayExtend = mayExtend;
        this.listener = listener;
    }

    /** Sends the next call now, or as soon as the one under way is answered. */
    void wake() {
        if (calling) {
            callAgain = true;
            return;
        }
        timer.ifPresent(Scheduler.Timer::cancel);
        send();
    }

    void close() {
        closed = true;
        timer.ifPresent(Scheduler.Timer::cancel);
    }

    private void send() {
        if (closed || tracked.isEnded()) {
            return;
        }
        calling = true;
        callAgain = false;
        server = tracked.listing().orElse(server);
        long sentNanos = clock.monotonicNanos();
        Duration wait = tracked.runs().isEmpty() || !tracked.answeredWithin(lease, sentNanos)
                ? Duration.ZERO
                : PaceController.isShared(tracked) ? SHARED_WAIT : MAX_WAIT;
        // After a lost answer the lease is not extended, so that it is known to end while the server stays silent.
        // A holder whose duty has lapsed does not extend it either: the next one waits for it to end.
        Optional<Long> leaseEnd =
                lastCallUnanswered || !mayExtend.getAsBoolean() ? Optional.empty() : tracked.leaseEnd(lease, sentNanos);
        ServerCommands.LeaseRenewal command = new ServerCommands.LeaseRenewal(
                leaseEnd, tracked.lastStoredEnd(), lastCallUnanswered ? Duration.ZERO : wait);
        Completions.then(
                serverCommands.renewLease(server, fencingToken, command),
                telemetry,
                "hold",
                result -> onResult(sentNanos, command, result));
    }

    private void onResult(long sentNanos, ServerCommands.LeaseRenewal command, ServerCommands.RenewalResult result) {
        calling = false;
        lastCallUnanswered = result instanceof ServerCommands.RenewalUnanswered;
        if (closed) {
            return;
        }
        listener.onRenewalResult(tracked, sentNanos, result);
        if (closed || tracked.isEnded()) {
            return;
        }
        Duration delay = result instanceof ServerCommands.Report ? MIN_CALL_INTERVAL : RETRY_INTERVAL;
        boolean acknowledged = command.acknowledgedEndNumber() == tracked.lastStoredEnd();
        if (tracked.isIdle() && acknowledged && !callAgain && result instanceof ServerCommands.Report) {
            delay = IDLE_INTERVAL;
        }
        timer = Optional.of(scheduler.schedule(delay, this::send));
    }
}
