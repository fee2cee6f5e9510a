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
    private static final Duration LONGEST_WAIT = Duration.ofMillis(900);
    /** Where work that fills may disturb work that serves, a report comes as often as response times are measured. */
    private static final Duration SHARED_WAIT = Duration.ofMillis(500);
    /** Ends that come within this time are fetched by one call. */
    private static final Duration SHORTEST_INTERVAL = Duration.ofMillis(40);

    /** Without runs a hold only keeps the clock and the server's health known. */
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(1500);
    /** After a lost answer the lease is not extended until one comes; it is asked for soon. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    private final TrackedServer state;
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
    private boolean lost;
    private boolean again;
    private boolean closed;

    /** Told of each answer. */
    interface Listener {
        /** Handles an answer to a call that was sent at a monotonic time. */
        void onHold(TrackedServer state, long sentNanos, ServerCommands.RenewalResult result);
    }

    LeaseRenewer(
            TrackedServer state,
            BackendServer server,
            ServerCommands orders,
            Telemetry telemetry,
            Clock clock,
            Scheduler scheduler,
            long fence,
            Duration lease,
            BooleanSupplier mayExtend,
            Listener listener) {
        this.state = state;
        this.server = server;
        this.serverCommands = orders;
        this.telemetry = telemetry;
        this.clock = clock;
        this.scheduler = scheduler;
        this.fencingToken = fence;
        this.lease = lease;
        this.mayExtend = mayExtend;
        this.listener = listener;
    }

    /** Sends the next call now, or as soon as the one under way is answered. */
    void wake() {
        if (calling) {
            again = true;
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
        if (closed || state.over()) {
            return;
        }
        calling = true;
        again = false;
        server = state.view().orElse(server);
        long sentNanos = clock.monotonicNanos();
        Duration wait = state.runs().isEmpty() || !state.answeredWithin(lease, sentNanos)
                ? Duration.ZERO
                : PaceController.isShared(state) ? SHARED_WAIT : LONGEST_WAIT;
        // After a lost answer the lease is not extended, so that it is known to end while the server stays silent.
        // A holder whose duty has lapsed does not extend it either: the next one waits for it to end.
        Optional<Long> leaseEnd =
                lost || !mayExtend.getAsBoolean() ? Optional.empty() : state.leaseEnd(lease, sentNanos);
        ServerCommands.LeaseRenewal order =
                new ServerCommands.LeaseRenewal(leaseEnd, state.storedEnd(), lost ? Duration.ZERO : wait);
        Completions.then(
                serverCommands.renewLease(server, fencingToken, order),
                telemetry,
                "hold",
                result -> onResult(sentNanos, order, result));
    }

    private void onResult(long sentNanos, ServerCommands.LeaseRenewal order, ServerCommands.RenewalResult result) {
        calling = false;
        lost = result instanceof ServerCommands.RenewalUnanswered;
        if (closed) {
            return;
        }
        listener.onHold(state, sentNanos, result);
        if (closed || state.over()) {
            return;
        }
        Duration delay = result instanceof ServerCommands.Report ? SHORTEST_INTERVAL : RETRY_INTERVAL;
        boolean acknowledged = order.acknowledgedEndNumber() == state.storedEnd();
        if (state.idle() && acknowledged && !again && result instanceof ServerCommands.Report) {
            delay = IDLE_INTERVAL;
        }
        timer = Optional.of(scheduler.schedule(delay, this::send));
    }
}
