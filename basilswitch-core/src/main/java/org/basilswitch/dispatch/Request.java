package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.admission.WaitingRequest;
import org.basilswitch.configuration.Queue;
import org.basilswitch.time.Scheduler;

/** State of one request from its arrival to its end. */
final class Request implements WaitingRequest {
    private final String id;
    private final RequestSpec spec;
    private final Optional<String> keyHash;
    private final RequestBroker.RequestObserver observer;
    private final long arrivedNanos;
    private final long arrivedHolderNanos;
    private State state = State.ARRIVED;
    private Queue queue;
    private String team;
    private long deadlineNanos;
    private long sendUntilNanos;
    private Optional<Scheduler.Timer> expiryTimer = Optional.empty();
    private final Set<String> failedServers = new HashSet<>();
    private final Set<String> serversThatMayHaveRun = new HashSet<>();
    private int attempts;
    private int busyRefusals;
    private int unresolvedSends;
    private boolean claimed;
    private boolean cancelled;

    Request(
            String id,
            RequestSpec spec,
            Optional<String> keyHash,
            RequestBroker.RequestObserver observer,
            long arrivedNanos,
            long arrivedHolderNanos) {
        this.id = id;
        this.spec = spec;
        this.keyHash = keyHash;
        this.observer = observer;
        this.arrivedNanos = arrivedNanos;
        this.arrivedHolderNanos = arrivedHolderNanos;
    }

    /** Sets queue, team and deadline after the request's key has been checked. */
    void accept(Queue acceptedQueue, String acceptedTeam) {
        queue = acceptedQueue;
        team = acceptedTeam;
        Duration deadline = spec.deadline().orElse(Duration.ofMillis(acceptedQueue.deadlineMs()));
        deadlineNanos = arrivedNanos + deadline.toNanos();
        sendUntilNanos = arrivedHolderNanos + deadline.toNanos();
    }

    String id() {
        return id;
    }

    RequestSpec spec() {
        return spec;
    }

    Optional<String> keyHash() {
        return keyHash;
    }

    RequestBroker.RequestObserver observer() {
        return observer;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    Queue queue() {
        return queue;
    }

    @Override
    public String team() {
        return team;
    }

    @Override
    public RequestSpec.Priority priority() {
        return spec.priority();
    }

    State state() {
        return state;
    }

    void setState(State next) {
        state = next;
    }

    boolean ended() {
        return state == State.ENDED;
    }

    /**
     * Returns whether the request may be sent, by the clock that counts suspensions of this host. After its deadline its
     * claim may be over, and another host may have run a repetition of it.
     */
    boolean maySendAt(long holderNanos) {
        return holderNanos - sendUntilNanos < 0;
    }

    Duration remaining(long nowNanos) {
        return Duration.ofNanos(Math.max(0, deadlineNanos - nowNanos));
    }

    void setExpiryTimer(Scheduler.Timer timer) {
        cancelExpiry();
        expiryTimer = Optional.of(timer);
    }

    void cancelExpiry() {
        expiryTimer.ifPresent(Scheduler.Timer::cancel);
        expiryTimer = Optional.empty();
    }

    /** Returns the time from arrival to deadline. */
    Duration totalTime() {
        return Duration.ofNanos(deadlineNanos - arrivedNanos);
    }

    int countAttempt() {
        return ++attempts;
    }

    int attempts() {
        return attempts;
    }

    Set<String> failedServers() {
        return failedServers;
    }

    /** Returns the names of the servers that failed the request after its first byte may have been sent. */
    Set<String> serversThatMayHaveRun() {
        return serversThatMayHaveRun;
    }

    int countBusyRefusal() {
        return ++busyRefusals;
    }

    void recordSend() {
        unresolvedSends++;
    }

    /** Discounts a send after the server has certainly refused to start the request. */
    void recordSendRefused() {
        unresolvedSends--;
    }

    /** Returns whether a server may have run the request. */
    boolean mayHaveRun() {
        return unresolvedSends > 0;
    }

    boolean claimed() {
        return claimed;
    }

    void setClaimed(boolean granted) {
        claimed = granted;
    }

    boolean needsClaim() {
        return !claimed && !queue.idempotent() && spec.idempotencyKey().isPresent();
    }

    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Creates a refusal whose outcome states whether this request may have run. */
    Refusal refusal(Refusal.Code code, Optional<Duration> retryAfter) {
        return new Refusal(code, mayHaveRun() ? Refusal.Outcome.UNKNOWN : Refusal.Outcome.NOT_RUN, retryAfter);
    }

    /** States of a request. */
    enum State {
        ARRIVED,
        WAITING,
        CLAIMING,
        ATTEMPTING,
        BACKING_OFF,
        ENDED
    }
}
