package org.basilswitch.dispatch;

import java.time.Duration;

import org.basilswitch.configuration.Host;
import org.basilswitch.time.Clock;

/** An {@link Attempt} that ends at most once. Late and repeated callbacks after its end have no effect. */
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

    /** Returns the time since the first byte was sent, in nanoseconds. */
    long elapsedNanos(long nowNanos) {
        return nowNanos - sentNanos;
    }

    /** Returns whether the first byte may have been sent. */
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

    /** Decides whether an attempt may send, and handles its end. */
    interface Listener {
        /** Returns whether the first byte may be sent now. */
        boolean maySend(RequestAttempt attempt);

        /** Handles the end of an attempt for which {@link #maySend} returned false. */
        void onSendDenied(RequestAttempt attempt);

        /** Handles the end of an attempt with a complete answer. */
        void onAnswered(RequestAttempt attempt, int status);

        /** Handles the failure of an attempt. */
        void onFailed(RequestAttempt attempt, Attempt.Failure failure);
    }
}
