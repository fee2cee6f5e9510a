package org.basilswitch.evacuation;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.StoreError;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Reads periodically which availability zones take no new work, while this entry host is the scheduler leader.
 *
 * <p>It polls, as a watch without changes cannot be told from a dead one. Without the options of a deployment it reads
 * nothing and allows every start.
 */
public final class EvacuationFollower {
    /** Interval between reads; half of the time within which a request is obeyed while the store answers. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(250);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);

    private final Clock clock;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Optional<EvacuationOptions> options;
    private EvacuatedZones state = EvacuatedZones.unknown();
    /** Number of the current period of reading; answers to reads of earlier periods are dropped. */
    private long period;

    private boolean running;
    private boolean failing;

    private EvacuationFollower(
            Clock clock, Scheduler scheduler, Telemetry telemetry, Optional<EvacuationOptions> options) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
        this.options = options;
    }

    /**
     * Creates a follower that is not started.
     *
     * @param clock clock whose monotonic time never lags behind real time
     * @param options options; empty for a deployment whose zones cannot be evacuated
     */
    public static EvacuationFollower create(
            Clock clock, Scheduler scheduler, Telemetry telemetry, Optional<EvacuationOptions> options) {
        return new EvacuationFollower(clock, scheduler, telemetry, options);
    }

    /** Starts reading; nothing may start before the first answer. */
    public void start() {
        if (!running && options.isPresent()) {
            running = true;
            period++;
            state = EvacuatedZones.unknown();
            read(options.get(), period);
        }
    }

    /** Stops reading. */
    public void stop() {
        running = false;
    }

    /** Returns whether the requests are known well enough to start work in zones that are not evacuated. */
    public boolean allowsStarts() {
        return options.isEmpty() || state.isConfirmedWithin(maxAge(options.get()), clock.monotonicNanos());
    }

    /** Returns whether a zone takes no new work. */
    public boolean isEvacuated(String zone) {
        return state.zones().contains(zone);
    }

    /** Maximum age of the requests at a start; the rest of the limit is for its transmission. */
    private static Duration maxAge(EvacuationOptions options) {
        return options.limit().multipliedBy(4).dividedBy(5);
    }

    private void read(EvacuationOptions following, long inPeriod) {
        if (!running || inPeriod != period) {
            return;
        }
        long sentNanos = clock.monotonicNanos();
        Completions.thenAcceptOrLog(
                following.store()::readZones,
                telemetry,
                "evacuated zones",
                result -> {
                    if (running && inPeriod == period) {
                        onResult(following, sentNanos, result);
                        Duration delay = result.isRight() ? READ_INTERVAL : RETRY_INTERVAL;
                        scheduler.schedule(delay, () -> read(following, inPeriod));
                    }
                },
                () -> scheduler.schedule(RETRY_INTERVAL, () -> read(following, inPeriod)));
    }

    private void onResult(EvacuationOptions following, long sentNanos, Either<StoreError, Set<String>> result) {
        if (result.isLeft()) {
            if (!failing) {
                failing = true;
                telemetry.event(
                        EventCode.EVACUATIONS_UNREADABLE, result.getLeft().detail());
            }
            return;
        }
        if (failing) {
            failing = false;
            telemetry.event(
                    EventCode.EVACUATIONS_READ, "evacuated=" + result.get().size());
        }
        EvacuatedZones previous = state;
        state = EvacuatedZones.readAt(sentNanos, result.get());
        report(following.zones(), previous);
    }

    private void report(Set<String> known, EvacuatedZones previous) {
        for (String zone : state.without(previous)) {
            telemetry.event(EventCode.ZONE_EVACUATED, "zone=" + zone);
            telemetry.count(CounterCode.ZONE_EVACUATIONS, "set");
            if (!known.isEmpty() && !known.contains(zone)) {
                telemetry.event(EventCode.EVACUATED_ZONE_UNKNOWN, "zone=" + zone + " known=" + new TreeSet<>(known));
            }
        }
        for (String zone : previous.without(state)) {
            telemetry.event(EventCode.ZONE_EVACUATION_WITHDRAWN, "zone=" + zone);
            telemetry.count(CounterCode.ZONE_EVACUATIONS, "withdrawn");
        }
        if (state.containsAll(known) && !previous.containsAll(known)) {
            telemetry.event(EventCode.ALL_ZONES_EVACUATED, "zones=" + known.size());
            telemetry.count(CounterCode.ZONE_EVACUATIONS, "all");
        }
    }
}
