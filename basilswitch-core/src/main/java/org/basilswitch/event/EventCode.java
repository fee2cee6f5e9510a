package org.basilswitch.event;

/**
 * Numbered log events; docs/LOG-EVENTS.md is the catalogue and a test holds it against this list.
 *
 * <p>Numbers: 1000 configuration, 1100 membership, 1200 limits, 1300 claims, 1400 dispatch and admission,
 * 1500 placement, 1600 fleet, 1700 maintenance, 1800 store, 2000 callers, 2100 administration, 2200 peers, 2300 TLS,
 * 2400 life cycle.
 */
public enum EventCode {
    CONFIGURATION_LOADED(1001, Severity.INFO, "configuration loaded from the store"),
    CONFIGURATION_APPLIED(1002, Severity.INFO, "configuration changes applied"),
    CONFIGURATION_COMPACTED(1003, Severity.WARN, "configuration watch was compacted; reading again"),
    CONFIGURATION_RECORD_INVALID(1004, Severity.ERROR, "configuration record can't be decoded; keeping the last one"),
    CONFIGURATION_READ_FAILED(1005, Severity.WARN, "configuration can't be read from the store; retrying"),
    CONFIGURATION_GAP(1006, Severity.INFO, "a peer's configuration is newer; asking it for the changes"),
    CONFIGURATION_RELAYED(1007, Severity.DEBUG, "configuration changes received from a peer"),
    MEMBER_JOINED(1101, Severity.INFO, "this entry host is in the members record"),
    MEMBER_LEFT(1102, Severity.INFO, "this entry host has left the members record"),
    MEMBER_REMOVED(1103, Severity.WARN, "a silent entry host was removed from the members record"),
    MEMBER_CHANGE_FAILED(1104, Severity.INFO, "the members record was not changed; trying again"),
    MEMBER_EXPELLED(1105, Severity.WARN, "other entry hosts removed this one; joining again"),
    MEMBERS_CHANGED(1106, Severity.INFO, "the members record has changed"),
    SERVING_STARTED(1107, Severity.INFO, "a majority of the members promises; work may start"),
    SERVING_STOPPED(1108, Severity.WARN, "no majority of the members promises; work is refused as not run"),
    REQUEST_SET_ASIDE(1401, Severity.WARN, "request failed on several distinct backend servers and was set aside"),
    INVARIANT_VIOLATED(1402, Severity.ERROR, "an invariant of request handling was violated; report this as a defect"),
    RETRY_BUDGET_EMPTY(1403, Severity.WARN, "retry budget of the queue is used up; failures are not retried"),
    URGENT_WAITING(1404, Severity.INFO, "urgent requests wait for slots held by background work"),
    SERVER_EJECTED(1501, Severity.WARN, "backend server ejected for failing or staying silent"),
    SERVER_RETURNED(1502, Severity.INFO, "backend server answered its probes and is let back");

    private final int number;
    private final Severity severity;
    private final String text;

    EventCode(int number, Severity severity, String text) {
        this.number = number;
        this.severity = severity;
        this.text = text;
    }

    /** Number in the catalogue. */
    public int number() {
        return number;
    }

    /** Severity. */
    public Severity severity() {
        return severity;
    }

    /** What happened, in the catalogue's words. */
    public String text() {
        return text;
    }

    /** Severities, as in Log4j. */
    public enum Severity {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }
}
