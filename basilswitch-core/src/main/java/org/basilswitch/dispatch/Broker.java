package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.admission.KeyAuthenticator;
import org.basilswitch.admission.RetryAfter;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;

/** Admits requests and passes each to the dispatcher of its queue's pool. All calls run on one event loop. */
public final class Broker implements RequestBroker {
    private static final int OPEN_TEAM_WEIGHT = 1;

    private final BrokerContext context;
    private final Invariants invariants;
    private final RequestCompleter requestCompleter;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private long nextRequest;
    private boolean draining;

    private Broker(BrokerContext context) {
        this.context = context;
        this.invariants = new Invariants(context.telemetry());
        this.requestCompleter = new RequestCompleter(
                context.scheduler(),
                context.telemetry(),
                context.claims(),
                RetryAfter.create(context.random()),
                invariants);
        context.limits().onAvailable(team -> dispatchers.values().forEach(PoolDispatcher::scheduleDispatch));
    }

    /** Creates a broker. */
    public static Broker create(BrokerContext context) {
        return new Broker(context);
    }

    @Override
    public RequestHandle submit(RequestSpec spec, RequestObserver observer) {
        String id = context.self().id() + "-" + nextRequest++;
        Request request = new Request(
                id,
                spec,
                KeyAuthenticator.hash(spec.keySecret()),
                observer,
                context.clock().monotonicNanos(),
                context.holderClock().monotonicNanos());
        requestCompleter.countOpened();
        boolean drainingAtSubmit = draining;
        context.scheduler().schedule(Duration.ZERO, () -> admit(request, drainingAtSubmit));
        return () -> cancel(request);
    }

    private void admit(Request request, boolean drainingAtSubmit) {
        if (request.cancelled()) {
            requestCompleter.refuse(request, Refusal.Code.CALLER_GONE);
            return;
        }
        if (drainingAtSubmit) {
            requestCompleter.refuse(request, Refusal.Code.DRAINING, Duration.ZERO);
            return;
        }
        if (!context.servingLease().mayStartWork()) {
            requestCompleter.refuse(request, Refusal.Code.STALE, Duration.ZERO);
            return;
        }
        SiteConfiguration configuration = context.configuration().get();
        Optional<Queue> queue =
                Optional.ofNullable(configuration.queues().get(request.spec().queue()));
        if (queue.isEmpty()) {
            requestCompleter.refuse(request, Refusal.Code.QUEUE_UNKNOWN);
            return;
        }
        Either<Refusal.Code, String> team = KeyAuthenticator.teamOf(configuration, queue.get(), request.keyHash());
        if (team.isLeft()) {
            requestCompleter.refuse(request, team.getLeft());
            return;
        }
        request.accept(queue.get(), team.get());
        dispatcherOf(queue.get().pool()).enqueueOrRefuse(request);
    }

    private PoolDispatcher dispatcherOf(String pool) {
        return dispatchers.computeIfAbsent(
                pool, name -> new PoolDispatcher(name, context, requestCompleter, invariants, this::weightOf));
    }

    private double weightOf(String team) {
        Team record = context.configuration().get().teams().get(team);
        return record == null ? OPEN_TEAM_WEIGHT : Math.max(1, record.shareWeight());
    }

    private void cancel(Request request) {
        switch (request.state()) {
            case ENDED -> {
                // already ended
            }
            case WAITING -> dispatchers.get(request.queue().pool()).cancel(request);
            case ARRIVED, CLAIMING, ATTEMPTING, BACKING_OFF -> request.cancel();
        }
    }

    @Override
    public void drain() {
        draining = true;
    }

    @Override
    public int openRequests() {
        return requestCompleter.openRequests();
    }
}
