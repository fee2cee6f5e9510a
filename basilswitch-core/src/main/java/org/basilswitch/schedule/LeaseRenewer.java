package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.basilswitch.event.Completions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Renews the lease of one server's runs and fetches its reports, with one call at a time. */
final class LeaseRenewer {
    /** Maximum time that a server with runs waits before it answers, so that a lease is renewed several times. */
    private static final Duration MAX_WAIT = Duration.ofMillis(900);
    /**
     * Maximum wait if spare-capacity work may disturb serving work, so that a report arrives as often as response times
     * are measured.
     */
    private static final Duration SHARED_WAIT = Duration.ofMillis(500);
    /** Minimum interval between calls; run ends within this time are fetched by one call. */
    private static final Duration MIN_CALL_INTERVAL = Duration.ofMillis(40);

    /**
     * Interval for a server without runs, where a call only keeps the clock and the health of the server up to date.
     */
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(1500);
    /**
     * Delay after an unanswered or rejected call; it is short because the lease is not extended until a call is
     * answered.
     */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    private final TrackedServer tracked;
    private final ServerCommands serverCommands;
    private final Telemetry telemetry;
    private final Clock holderClock;
    private final Clock steadyClock;
    private final Scheduler scheduler;
    private final Duration lease;
    private final BooleanSupplier mayExtend;
    private final Listener listener;
    private BackendServer server;
    private Optional<Scheduler.Timer> timer = Optional.empty();
    private boolean calling;
    private boolean lastCallUnanswered;
    private boolean callAgain;
    private boolean closed;

    /** Receives the result of each call. */
    interface Listener {
        /** Handles the result of a call that was sent at a monotonic time. */
        void onRenewalResult(
                TrackedServer tracked,
                long sentNanos,
                ServerCommands.LeaseRenewal command,
                ServerCommands.RenewalResult result);
    }

    LeaseRenewer(
            TrackedServer tracked,
            BackendServer server,
            ServerCommands serverCommands,
            Telemetry telemetry,
            Clock holderClock,
            Clock steadyClock,
            Scheduler scheduler,
            Duration lease,
            BooleanSupplier mayExtend,
            Listener listener) {
        this.tracked = tracked;
        this.server = server;
        this.serverCommands = serverCommands;
        this.telemetry = telemetry;
        this.holderClock = holderClock;
        this.steadyClock = steadyClock;
        this.scheduler = scheduler;
        this.lease = lease;
        this.mayExtend = mayExtend;
        this.listener = listener;
    }

    /** Sends the next call now, or as soon as the current one is answered. */
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
        long sentNanos = holderClock.monotonicNanos();
        Duration wait = tracked.runs().isEmpty() || !tracked.answeredWithin(lease, sentNanos)
                ? Duration.ZERO
                : PaceController.isShared(tracked) ? SHARED_WAIT : MAX_WAIT;
        // After an unanswered call the lease is not extended, so that its end is known while the server stays silent. A
        // leader whose leadership has expired does not extend it either, as the next leader waits for its end. Without
        // runs there is nothing to extend, and the next incarnation could take the lease for its own runs.
        Optional<Long> leaseEnd = lastCallUnanswered || !tracked.hasRuns() || !mayExtend.getAsBoolean()
                ? Optional.empty()
                : tracked.leaseEnd(lease, steadyClock.monotonicNanos());
        if (leaseEnd.isPresent()) {
            tracked.leaseGrants().renewalSent(steadyClock.monotonicNanos());
        }
        // An unanswered call may be due to a restart: the next report shows which incarnation would be acknowledged to.
        ServerCommands.LeaseRenewal command = lastCallUnanswered
                ? new ServerCommands.LeaseRenewal(leaseEnd, 0, Duration.ZERO)
                : new ServerCommands.LeaseRenewal(leaseEnd, tracked.endToAcknowledge(), wait);
        Completions.thenAcceptOrLog(
                () -> serverCommands.renewLease(server, tracked.fencingToken(), command),
                telemetry,
                "hold",
                result -> onResult(sentNanos, command, result),
                this::onFailure);
    }

    private void onFailure() {
        calling = false;
        lastCallUnanswered = true;
        tracked.leaseGrants().renewalUnanswered();
        if (!closed && !tracked.isEnded()) {
            timer.ifPresent(Scheduler.Timer::cancel);
            timer = Optional.of(scheduler.schedule(RETRY_INTERVAL, this::send));
        }
    }

    private void onResult(long sentNanos, ServerCommands.LeaseRenewal command, ServerCommands.RenewalResult result) {
        calling = false;
        lastCallUnanswered = result instanceof ServerCommands.RenewalUnanswered;
        if (lastCallUnanswered) {
            tracked.leaseGrants().renewalUnanswered();
        } else {
            tracked.leaseGrants().renewalAnswered();
        }
        if (closed) {
            return;
        }
        listener.onRenewalResult(tracked, sentNanos, command, result);
        if (closed || tracked.isEnded()) {
            return;
        }
        Duration delay = result instanceof ServerCommands.Report ? MIN_CALL_INTERVAL : RETRY_INTERVAL;
        if (tracked.isIdle()
                && !tracked.hasEndsToAcknowledge()
                && !callAgain
                && result instanceof ServerCommands.Report) {
            delay = IDLE_INTERVAL;
        }
        timer = Optional.of(scheduler.schedule(delay, this::send));
    }
}
