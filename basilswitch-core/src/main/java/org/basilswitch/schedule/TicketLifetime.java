package org.basilswitch.schedule;

import java.time.Duration;

/**
 * Decides how long tickets are used. The advice service does not tell when the validity of a ticket begins, so that it
 * is taken to begin with the answer until a server rejects a start. That costs no more than this start.
 */
final class TicketLifetime {
    /** Part of a ticket's validity that is reserved for storing the run's record and starting the run. */
    private static final Duration START_ALLOWANCE = Duration.ofMillis(600);

    /** Time after its arrival for which a ticket is used for placement, however short its validity is. */
    private static final Duration ARRIVAL_WINDOW = Duration.ofMillis(50);
    /** Time after its arrival for which a ticket is sent, however short its validity is. */
    private static final Duration AT_ONCE = Duration.ofMillis(5);

    private boolean beginsWithAnswer = true;

    /** Returns the part of a validity in which a run is recorded, so that it starts before the validity ends. */
    static Duration usableTime(Duration validity) {
        Duration quarter = validity.dividedBy(4);
        return validity.minus(quarter.compareTo(START_ALLOWANCE) < 0 ? quarter : START_ALLOWANCE);
    }

    /**
     * Returns whether a run may be placed with this ticket, which leaves time to store its record. A ticket that has just
     * arrived is always used: a call that takes longer than its tickets are valid would otherwise never start anything.
     */
    boolean isUsableForPlacement(Ticket ticket, long nowNanos) {
        return age(ticket, nowNanos) < usableTime(ticket.validity()).toNanos()
                || hasJustArrived(ticket, ARRIVAL_WINDOW, nowNanos);
    }

    /** Returns whether a start may be sent with this ticket. */
    boolean isUsableForStart(Ticket ticket, long nowNanos) {
        return age(ticket, nowNanos) < ticket.validity().toNanos() || hasJustArrived(ticket, AT_ONCE, nowNanos);
    }

    private static boolean hasJustArrived(Ticket ticket, Duration least, long nowNanos) {
        Duration validity = ticket.validity();
        Duration window = validity.compareTo(START_ALLOWANCE) < 0 ? validity : START_ALLOWANCE;
        return nowNanos - ticket.answeredNanos() < Math.max(window.toNanos(), least.toNanos());
    }

    /** Returns whether servers have shown that the validity begins with the call. */
    boolean beginsWithCall() {
        return !beginsWithAnswer;
    }

    /** Returns the time since the validity of a ticket has begun, as far as it is known, ns. */
    private long age(Ticket ticket, long nowNanos) {
        return nowNanos - (beginsWithAnswer ? ticket.answeredNanos() : ticket.sentNanos());
    }

    /** Learns from a start that a server has accepted although the ticket had expired if counted from the call. */
    void onAccepted(Ticket ticket, long sentNanos) {
        if (sentNanos - ticket.sentNanos() > ticket.validity().toNanos()) {
            beginsWithAnswer = true;
        }
    }

    /** Learns from a start that a server has rejected although the ticket was valid if counted from the answer. */
    void onRejected(Ticket ticket, long rejectedNanos) {
        boolean validFromAnswer =
                rejectedNanos - ticket.answeredNanos() < ticket.validity().toNanos();
        boolean expiredFromCall = rejectedNanos - ticket.sentNanos()
                >= usableTime(ticket.validity()).toNanos();
        if (validFromAnswer && expiredFromCall) {
            beginsWithAnswer = false;
        }
    }
}
