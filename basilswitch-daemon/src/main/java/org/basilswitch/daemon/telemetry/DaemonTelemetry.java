package org.basilswitch.daemon.telemetry;

import java.util.EnumMap;
import java.util.Map;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;

/** Logs the core's events with Log4j, at a limited rate per event, and counts with Micrometer. */
public final class DaemonTelemetry implements Telemetry {
    private static final Logger LOGGER = LogManager.getLogger("org.basilswitch");
    /** Log lines per event and second; about twice the jobs that end per second on the busiest day (docs/design/platform.md). */
    private static final int MAX_EVENTS_PER_SECOND = 60;

    private final Meters meters;
    private final Clock clock;
    private final String node;
    private final Map<EventCode, EventRateLimiter> rateLimiters = new EnumMap<>(EventCode.class);

    private DaemonTelemetry(Meters meters, Clock clock, String node) {
        this.meters = meters;
        this.clock = clock;
        this.node = node;
    }

    /** Creates the telemetry of an entry host. */
    public static DaemonTelemetry create(Meters meters, Clock clock, String node) {
        return new DaemonTelemetry(meters, clock, node);
    }

    @Override
    public void event(EventCode code, String detail) {
        EventRateLimiter rate = rateLimiters.computeIfAbsent(code, key -> new EventRateLimiter(MAX_EVENTS_PER_SECOND));
        if (!rate.tryAcquire(clock.monotonicNanos())) {
            meters.count(CounterCode.EVENTS_SUPPRESSED, code.name());
            return;
        }
        long suppressed = rate.takeSuppressed();
        if (suppressed > 0) {
            write(EventCode.EVENTS_SUPPRESSED, "number=" + code.number() + " suppressed=" + suppressed);
        }
        write(code, detail);
    }

    private void write(EventCode code, String detail) {
        Level level = level(code.severity());
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        StringMapMessage message = new StringMapMessage()
                .with("event", code.number())
                .with("name", code.name())
                .with("text", code.text())
                .with("node", node)
                .with("detail", detail);
        LOGGER.log(level, message);
    }

    private static Level level(EventCode.Severity severity) {
        return switch (severity) {
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARN -> Level.WARN;
            case ERROR -> Level.ERROR;
        };
    }

    @Override
    public void count(CounterCode counter, String tag) {
        meters.count(counter, tag);
    }
}
