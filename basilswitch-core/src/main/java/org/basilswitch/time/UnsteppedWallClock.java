package org.basilswitch.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * A wall clock that a forward step of the host's wall clock does not move ahead, for work that must not begin before
 * its time.
 *
 * <p>It follows the host's wall clock, but no further than the monotonic clock has advanced since the start of the
 * process. The monotonic clock does not count suspensions (clock_gettime(2), CLOCK_MONOTONIC). A suspension is known by
 * the steady clocks of other hosts, which go on meanwhile; until enough of them have been read after a suspension, this
 * clock is late by its length.
 */
public final class UnsteppedWallClock implements InstantSource {
    /** Differences between two steady clocks up to this are attributed to the network and not to a suspension. */
    private static final long TOLERANCE_MS = 150;

    /** Number of other hosts whose clocks are compared. */
    private static final int MAX_REMOTE_CLOCKS = 15;

    /** Time after which a host that is no longer heard makes room for another one. */
    private static final long REMOTE_CLOCK_RETENTION_MS = Duration.ofSeconds(10).toMillis();

    private final Clock clock;
    private final long startWallMs;
    private final long startSteadyMs;
    private final Map<Object, RemoteClock> remoteClocks = new HashMap<>();
    private long suspendedMs;

    private UnsteppedWallClock(Clock clock) {
        this.clock = clock;
        this.startWallMs = clock.millis();
        this.startSteadyMs = steadyMs();
    }

    /**
     * Creates a wall clock that starts at the host's wall time.
     *
     * @param clock the host's clocks; the monotonic time must never run ahead of real time
     */
    public static UnsteppedWallClock of(Clock clock) {
        return new UnsteppedWallClock(clock);
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
        return Math.min(clock.millis(), startWallMs + steadyMs() - startSteadyMs + suspendedMs);
    }

    /**
     * Reads the steady clock of another host, which arrived now. A suspension of this host is counted once half of the
     * known clocks have advanced further than its own.
     *
     * @param source identifies one life of the other host's clock
     * @param remoteMs time of that clock, ms since an arbitrary origin
     */
    public void observe(Object source, long remoteMs) {
        long nowMs = steadyMs();
        RemoteClock remote = remoteClocks.get(source);
        if (remote == null) {
            if (remoteClocks.size() >= MAX_REMOTE_CLOCKS) {
                remoteClocks.values().removeIf(other -> nowMs - other.readMs > REMOTE_CLOCK_RETENTION_MS);
            }
            if (remoteClocks.size() < MAX_REMOTE_CLOCKS) {
                remoteClocks.put(source, new RemoteClock(remoteMs - nowMs - suspendedMs, nowMs));
            }
            return;
        }
        remote.update(remoteMs - nowMs - suspendedMs, nowMs);
        long[] ahead = remoteClocks.values().stream()
                .mapToLong(other -> other.aheadMs)
                .sorted()
                .toArray();
        long medianMs = ahead[ahead.length / 2];
        if (medianMs > 0) {
            suspendedMs += medianMs;
            remoteClocks.values().forEach(other -> other.aheadMs = Math.max(0, other.aheadMs - medianMs));
        }
    }

    private long steadyMs() {
        return Duration.ofNanos(clock.monotonicNanos()).toMillis();
    }

    /** The steady clock of another host against that of this host. */
    private static final class RemoteClock {
        /** Highest difference that is not attributed to a suspension, ms; delays on the network only lower it. */
        private long offsetMs;

        private long aheadMs;
        private long readMs;

        private RemoteClock(long offsetMs, long readMs) {
            this.offsetMs = offsetMs;
            this.readMs = readMs;
        }

        private void update(long currentOffsetMs, long nowMs) {
            readMs = nowMs;
            if (currentOffsetMs - offsetMs > TOLERANCE_MS) {
                aheadMs = currentOffsetMs - offsetMs;
            } else {
                offsetMs = Math.max(offsetMs, currentOffsetMs);
                aheadMs = 0;
            }
        }
    }
}
