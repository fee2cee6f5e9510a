package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.admission.KeyCheck;
import org.basilswitch.admission.RetryAfter;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;

/** Admits requests and gives each to the dispatcher of its queue's pool; all calls run on one event loop. */
public final class Broker implements RequestBroker {
    private static final int OPEN_TEAM_WEIGHT = 1;

    private final BrokerParts parts;
    private final Invariants invariants;
    private final RequestEnds ends;
    private final Map<String, PoolDispatcher> dispatchers = new HashMap<>();
    private long nextRequest;
    private boolean draining;

    private Broker(BrokerParts parts) {
        this.parts = parts;
        this.invariants = new Invariants(parts.telemetry());
        this.ends = new RequestEnds(
                parts.scheduler(), parts.telemetry(), parts.claims(), RetryAfter.create(parts.random()), invariants);
        parts.limits().onAvailable(team -> dispatchers.values().forEach(PoolDispatcher::scheduleRound));
    }

    /** Creates a broker. */
    public static Broker create(BrokerParts parts) {
        return new Broker(parts);
    }

    @Override
    public RequestHandle submit(RequestSpec spec, RequestObserver observer) {
        String id = parts.self().id() + "-" + nextRequest++;
        Request request = new Request(
                id,
                spec,
                KeyCheck.hash(spec.keySecret()),
                observer,
                parts.clock().monotonicNanos());
        ends.opened();
        boolean refused = draining;
        parts.scheduler().schedule(Duration.ZERO, () -> admit(request, refused));
        return () -> cancel(request);
    }

    private void admit(Request request, boolean refused) {
        if (request.cancelled()) {
            ends.refuse(request, Refusal.Code.CALLER_GONE);
            return;
        }
        if (refused) {
            ends.refuse(request, Refusal.Code.DRAINING, Duration.ZERO);
            return;
        }
        if (!parts.authority().mayStart()) {
            ends.refuse(request, Refusal.Code.STALE, Duration.ZERO);
            return;
        }
        SiteConfiguration configuration = parts.configuration().get();
        Optional<Queue> queue =
                Optional.ofNullable(configuration.queues().get(request.spec().queue()));
        if (queue.isEmpty()) {
            ends.refuse(request, Refusal.Code.QUEUE_UNKNOWN);
            return;
        }
        Either<Refusal.Code, String> team = KeyCheck.teamOf(configuration, queue.get(), request.keyHash());
        if (team.isLeft()) {
            ends.refuse(request, team.getLeft());
            return;
        }
        request.accept(queue.get(), team.get());
        dispatcher(queue.get().pool()).enter(request);
    }

    private PoolDispatcher dispatcher(String pool) {
        return dispatchers.computeIfAbsent(
                pool, name -> new PoolDispatcher(name, parts, ends, invariants, this::weightOf));
    }

    private double weightOf(String team) {
        Team record = parts.configuration().get().teams().get(team);
        return record == null ? OPEN_TEAM_WEIGHT : Math.max(1, record.shareWeight());
    }

    private void cancel(Request request) {
        switch (request.state()) {
            case ENDED -> {
                // nothing is left to cancel
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
        return ends.open();
    }
}
