package org.basilswitch.entry;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.dispatch.Attempt;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.dispatch.RequestSpec;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** A broker without queueing, limits or retries: one attempt at a random active backend server. */
final class FirstServerBroker implements RequestBroker {
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Supplier<SiteConfiguration> configuration;
    private final Member self;
    private long nextRequest;
    private int open;
    private boolean draining;

    private FirstServerBroker(
            Scheduler scheduler, UniformRandomProvider random, Supplier<SiteConfiguration> configuration, Member self) {
        this.scheduler = scheduler;
        this.random = random;
        this.configuration = configuration;
        this.self = self;
    }

    static FirstServerBroker create(
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            Supplier<SiteConfiguration> configuration,
            Telemetry telemetry,
            Member self) {
        return new FirstServerBroker(scheduler, random, configuration, self);
    }

    @Override
    public RequestHandle submit(RequestSpec spec, RequestObserver observer) {
        open++;
        scheduler.schedule(Duration.ZERO, () -> start(spec, observer));
        return () -> {};
    }

    private void start(RequestSpec spec, RequestObserver observer) {
        Queue queue = configuration.get().queues().get(spec.queue());
        if (queue == null) {
            refuse(observer, Refusal.Code.QUEUE_UNKNOWN);
            return;
        }
        if (draining) {
            refuse(observer, Refusal.Code.DRAINING);
            return;
        }
        List<Host> servers = configuration.get().hostsOf(queue.pool()).stream()
                .filter(host -> host.state() == HostState.ACTIVE)
                .toList();
        if (servers.isEmpty()) {
            refuse(observer, Refusal.Code.NO_SERVER);
            return;
        }
        Host server = servers.get(random.nextInt(servers.size()));
        String id = self.id() + "-" + nextRequest++;
        Duration timeout = spec.deadline().orElse(Duration.ofMillis(queue.deadlineMs()));
        observer.attempt(new OneAttempt(id, server, timeout, observer));
    }

    private void refuse(RequestObserver observer, Refusal.Code code) {
        open--;
        observer.refused(Refusal.notRun(code));
    }

    @Override
    public void drain() {
        draining = true;
    }

    @Override
    public int openRequests() {
        return open;
    }

    private final class OneAttempt implements Attempt {
        private final String requestId;
        private final Host server;
        private final Duration timeout;
        private final RequestObserver observer;
        private boolean sent;

        private OneAttempt(String requestId, Host server, Duration timeout, RequestObserver observer) {
            this.requestId = requestId;
            this.server = server;
            this.timeout = timeout;
            this.observer = observer;
        }

        @Override
        public String requestId() {
            return requestId;
        }

        @Override
        public int number() {
            return 1;
        }

        @Override
        public String team() {
            return "open";
        }

        @Override
        public Host server() {
            return server;
        }

        @Override
        public Duration timeout() {
            return timeout;
        }

        @Override
        public boolean beginSend() {
            sent = true;
            return true;
        }

        @Override
        public void answered(int status) {
            open--;
        }

        @Override
        public void failed(Failure failure) {
            open--;
            boolean mayHaveRun = sent && failure != Failure.SERVER_BUSY;
            observer.refused(
                    mayHaveRun
                            ? Refusal.unknown(Refusal.Code.ANSWER_LOST)
                            : Refusal.notRun(Refusal.Code.RETRIES_EXHAUSTED));
        }
    }
}
