package org.basilswitch.daemon.telemetry;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.event.CounterCode;

/** The meters of an entry host. Except for {@link #scrape}, methods are called on the entry host's event loop only. */
public final class Meters implements AutoCloseable {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<CounterCode, Map<String, Counter>> counters = new EnumMap<>(CounterCode.class);
    private final Map<String, Map<Refusal.Outcome, Timer>> requestTimers = new HashMap<>();

    private Meters() {}

    /** Creates meters with a registry of their own. */
    public static Meters create() {
        return new Meters();
    }

    /** Returns the registry, for registering further meters. */
    public PrometheusMeterRegistry registry() {
        return registry;
    }

    /** Adds one to a counter; the tag is ignored if the counter has no tag name. */
    public void count(CounterCode code, String tag) {
        counters.computeIfAbsent(code, key -> new HashMap<>())
                .computeIfAbsent(tag, value -> counter(code, value))
                .increment();
    }

    private Counter counter(CounterCode code, String tag) {
        Counter.Builder builder = Counter.builder(code.metric());
        if (!code.tagName().isEmpty()) {
            builder.tag(code.tagName(), tag);
        }
        return builder.register(registry);
    }

    /** Registers a gauge; its value is read at each scrape, from a thread other than the event loop's. */
    public void gauge(DaemonMeter meter, Supplier<Number> value) {
        Gauge.builder(meter.metric(), value).strongReference(true).register(registry);
    }

    /** Records the duration of a request from its headers to its end, in nanoseconds. */
    public void recordRequest(String queue, Refusal.Outcome outcome, long durationNanos) {
        requestTimers
                .computeIfAbsent(queue, key -> new EnumMap<>(Refusal.Outcome.class))
                .computeIfAbsent(outcome, key -> requestTimer(queue, outcome))
                .record(durationNanos, TimeUnit.NANOSECONDS);
    }

    private Timer requestTimer(String queue, Refusal.Outcome outcome) {
        return Timer.builder(DaemonMeter.REQUEST_DURATION.metric())
                .tag("queue", queue)
                .tag("outcome", outcome.text())
                .serviceLevelObjectives(LatencyBuckets.upperBounds())
                .register(registry);
    }

    /** Returns all meters in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    @Override
    public void close() {
        registry.close();
    }
}
