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
    STORE_CALL_FAILED(1801, Severity.WARN, "store call refused or without an answer"),
    STORE_WATCH_INTERRUPTED(1802, Severity.WARN, "store watch interrupted; opening it again"),
    STORE_WATCH_COMPACTED(1803, Severity.WARN, "store watch starts before the oldest kept revision; reading again");

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
