package org.basilswitch.dispatch;

import java.time.Duration;

import org.basilswitch.configuration.Host;
import org.basilswitch.time.Clock;

/** One attempt; after its first end, late and repeated callbacks are without effect. */
final class RequestAttempt implements Attempt {
    private final Request request;
    private final CapacityReservation reservation;
    private final int number;
    private final Duration timeout;
    private final Listener listener;
    private final Clock clock;
    private State state = State.OFFERED;
    private long sentNanos;

    RequestAttempt(
            Request request,
            CapacityReservation reservation,
            int number,
            Duration timeout,
            Listener listener,
            Clock clock) {
        this.request = request;
        this.reservation = reservation;
        this.number = number;
        this.timeout = timeout;
        this.listener = listener;
        this.clock = clock;
    }

    Request request() {
        return request;
    }

    CapacityReservation reservation() {
        return reservation;
    }

    /** Time since the first byte left, in nanoseconds. */
    long elapsedNanos(long nowNanos) {
        return nowNanos - sentNanos;
    }

    /** Whether the first byte may have left. */
    boolean sent() {
        return state == State.SENT || state == State.ENDED_SENT;
    }

    @Override
    public String requestId() {
        return request.id();
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public String team() {
        return request.team();
    }

    @Override
    public Host server() {
        return reservation.server();
    }

    @Override
    public Duration timeout() {
        return timeout;
    }

    @Override
    public boolean tryBeginSend() {
        if (state != State.OFFERED) {
            return false;
        }
        if (!listener.maySend(this)) {
            state = State.ENDED_UNSENT;
            listener.onSendDenied(this);
            return false;
        }
        state = State.SENT;
        sentNanos = clock.monotonicNanos();
        return true;
    }

    @Override
    public void complete(int status) {
        if (tryEnd()) {
            listener.onAnswered(this, status);
        }
    }

    @Override
    public void fail(Failure failure) {
        if (tryEnd()) {
            listener.onFailed(this, failure);
        }
    }

    private boolean tryEnd() {
        switch (state) {
            case OFFERED -> state = State.ENDED_UNSENT;
            case SENT -> state = State.ENDED_SENT;
            case ENDED_UNSENT, ENDED_SENT -> {
                return false;
            }
        }
        return true;
    }

    private enum State {
        OFFERED,
        SENT,
        ENDED_UNSENT,
        ENDED_SENT
    }

    /** Decides on an attempt's steps. */
    interface Listener {
        /** Whether the first byte may leave now. */
        boolean maySend(RequestAttempt attempt);

        /** The attempt ended because {@link #maySend} said no. */
        void onSendDenied(RequestAttempt attempt);

        /** The attempt ended with a whole answer. */
        void onAnswered(RequestAttempt attempt, int status);

        /** The attempt failed. */
        void onFailed(RequestAttempt attempt, Attempt.Failure failure);
    }
}
