package org.basilswitch.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.dispatch.RequestSpec;
import org.basilswitch.limit.MaxRequestTime;

/**
 * Limits callers' deadlines to the longest deadline of any queue. The units of a crashed entry host are reused after
 * that time, so no request may run longer.
 */
final class DeadlineCap implements RequestBroker {
    private final RequestBroker broker;
    private final Supplier<SiteConfiguration> configuration;
    private SiteConfiguration lastConfiguration;
    private Duration maxDeadline = Duration.ZERO;

    DeadlineCap(RequestBroker broker, Supplier<SiteConfiguration> configuration) {
        this.broker = broker;
        this.configuration = configuration;
    }

    @Override
    public RequestHandle submit(RequestSpec spec, RequestObserver observer) {
        Duration limit = updateMaxDeadline();
        Optional<Duration> deadline = spec.deadline().map(asked -> asked.compareTo(limit) > 0 ? limit : asked);
        RequestSpec capped =
                new RequestSpec(spec.queue(), spec.keySecret(), spec.idempotencyKey(), deadline, spec.priority());
        return broker.submit(capped, observer);
    }

    private Duration updateMaxDeadline() {
        SiteConfiguration current = configuration.get();
        if (current != lastConfiguration) {
            lastConfiguration = current;
            maxDeadline = MaxRequestTime.of(current).deadline();
        }
        return maxDeadline;
    }

    @Override
    public void drain() {
        broker.drain();
    }

    @Override
    public int openRequests() {
        return broker.openRequests();
    }
}
