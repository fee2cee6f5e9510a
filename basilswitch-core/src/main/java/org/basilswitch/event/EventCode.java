package org.basilswitch.event;

/**
 * Numbered log events; docs/LOG-EVENTS.md is the catalogue and a test holds it against this list.
 *
 * <p>Numbers: 1000 configuration, 1100 membership, 1200 limits, 1300 claims, 1400 dispatch and admission,
 * 1500 placement, 1600 fleet, 1700 maintenance, 1800 store, 1900 jobs, 2000 callers, 2100 administration, 2200 peers, 2300 TLS,
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
    LIMIT_RECLAIMED(1201, Severity.INFO, "units of a departed entry host were reclaimed"),
    LIMIT_STORE_FAILED(1202, Severity.DEBUG, "an allotment could not be changed in the store; trying again"),
    LIMIT_RESET(1204, Severity.WARN, "this entry host was out of the members record; reading its allotments again"),
    CLAIM_BUCKET_TAKEN(1301, Severity.INFO, "this entry host holds a claim bucket"),
    CLAIM_BUCKET_LOST(1302, Severity.INFO, "another entry host holds a claim bucket"),
    CLAIM_COMMIT_UNKNOWN(1303, Severity.WARN, "the answer to a claim commit was lost; reading the bucket back"),
    CLAIM_STORE_FAILED(1304, Severity.WARN, "a claim bucket can't be read or written; claims are refused"),
    REQUEST_SET_ASIDE(1401, Severity.WARN, "request failed on several distinct backend servers and was set aside"),
    INVARIANT_VIOLATED(1402, Severity.ERROR, "an invariant of request handling was violated; report this as a defect"),
    RETRY_BUDGET_EMPTY(1403, Severity.WARN, "retry budget of the queue is used up; failures are not retried"),
    URGENT_WAITING(1404, Severity.INFO, "urgent requests wait for slots held by background work"),
    SERVER_EJECTED(1501, Severity.WARN, "backend server ejected for failing or staying silent"),
    SERVER_RETURNED(1502, Severity.INFO, "backend server answered its probes and is let back"),
    DUTY_ACQUIRED(1601, Severity.INFO, "controller duty acquired"),
    DUTY_LOST(1602, Severity.WARN, "controller duty lost"),
    HOST_STEPPED(1603, Severity.INFO, "host changed its state"),
    HOST_MOVED(1604, Severity.INFO, "host moved to another pool"),
    HOST_CHANGE_FAILED(1605, Severity.WARN, "host could not be changed; trying again"),
    WAVE_HALTED(1701, Severity.ERROR, "maintenance wave halted"),
    WAVE_COMPLETED(1702, Severity.INFO, "maintenance wave completed"),
    WAVE_HOST_DONE(1703, Severity.INFO, "host maintained"),
    WAVE_HOST_FAULTY(1704, Severity.WARN, "host did not return from its reboot"),
    SCHEDULER_STARTED(1901, Severity.INFO, "scheduler has read the jobs and follows the backend servers"),
    SCHEDULER_STOPPED(1902, Severity.WARN, "scheduler stopped; another entry host may hold the duty"),
    JOB_ACCEPTED(1903, Severity.INFO, "job accepted and stored"),
    JOB_REFUSED(1904, Severity.INFO, "job refused; it has not run and never will"),
    JOB_UNDECIDED(1905, Severity.WARN, "job's acceptance is not known; the caller is to ask again"),
    JOB_CANCELLED(1906, Severity.INFO, "job cancelled"),
    JOB_ENDED(1907, Severity.INFO, "job has its final state"),
    RUN_ORDERED(1908, Severity.DEBUG, "work item ordered to start"),
    RUN_REJECTED(1909, Severity.INFO, "backend server did not start a work item"),
    RUN_DOUBTFUL(
            1910, Severity.WARN, "start of a work item has no answer; it is barred before it is started elsewhere"),
    RUN_LOST(1911, Severity.INFO, "run of a work item is over without an end"),
    RUN_FAILED(1912, Severity.INFO, "run of a work item failed"),
    RUN_UNKNOWN(1913, Severity.WARN, "backend server runs a work item that is not wanted; stopping it"),
    SERVER_LIFETIME_ENDED(1914, Severity.INFO, "lifetime of a backend server is over"),
    JOB_RECORD_INVALID(1915, Severity.ERROR, "job record can't be decoded; the job is not run"),
    JOBS_READ_FAILED(1916, Severity.WARN, "jobs can't be read from the store; trying again"),
    SITE_LOADED(1917, Severity.INFO, "configuration of queues and teams loaded"),
    SITE_UNREADABLE(
            1918,
            Severity.WARN,
            "configuration of queues and teams can't be read; calls that need it are refused once it is old"),
    WAVE_STARTED(1919, Severity.INFO, "maintenance wave started"),
    HOST_ORDER_FAILED(1920, Severity.WARN, "order for a host was not carried out"),
    HOST_ORDERED(1921, Severity.INFO, "host ordered to move or to be maintained"),
    PACE_FAILED(1922, Severity.INFO, "pace of a work item could not be set; trying again"),
    CALL_REFUSED(1923, Severity.INFO, "call refused"),
    JOBS_NOT_DELETED(1924, Severity.INFO, "records of ended jobs could not be deleted; they are deleted later"),
    SERVER_SLOW(1925, Severity.INFO, "backend server works more slowly than others; it gets no new work for some time"),
    RUN_RESTARTED(1926, Severity.INFO, "work item on a slow or silent backend server is started on another one"),
    SERVER_FAILING(
            1927, Severity.WARN, "work of several jobs failed on a backend server; it gets no new work for some time"),
    CALL_NOT_ADMITTED(1928, Severity.INFO, "call names a queue, key or job that does not exist"),
    CALL_TIMED_OUT(1929, Severity.WARN, "call was not decided within the caller's patience"),
    CALL_HANDED_OVER(1930, Severity.INFO, "store turned this host away; the scheduler's host answers the call"),
    STORE_CALL_FAILED(1801, Severity.WARN, "store call refused or without an answer"),
    STORE_WATCH_INTERRUPTED(1802, Severity.WARN, "store watch interrupted; opening it again"),
    STORE_WATCH_COMPACTED(1803, Severity.WARN, "store watch starts before the oldest kept revision; reading again"),
    LIVE_LIST_UNREADABLE(1804, Severity.WARN, "list of live hosts can't be read; keeping the last one for some time"),
    LIVE_LIST_READ(1805, Severity.INFO, "list of live hosts is read again"),
    CALLER_REQUEST_MALFORMED(2001, Severity.INFO, "caller's request is malformed; refused"),
    CALLER_HEADERS_TOO_LARGE(2002, Severity.INFO, "caller's headers are too large; refused"),
    CALLER_BODY_TOO_LARGE(2003, Severity.INFO, "caller's body is over the limit; refused"),
    CALLER_HEADERS_STALLED(2004, Severity.INFO, "caller sent no whole request head in time; connection closed"),
    CALLER_BODY_STALLED(2005, Severity.INFO, "caller stopped sending the body; refused"),
    CALLER_GONE(2006, Severity.DEBUG, "caller closed the connection before its answer; request cancelled"),
    WORKER_ANSWER_MISMATCHED(2007, Severity.WARN, "backend server answered another request; answer dropped"),
    WORKER_ANSWER_CUT(2008, Severity.WARN, "backend server's answer broke off; caller's connection cut"),
    CHANGE_ACCEPTED(2101, Severity.INFO, "configuration change accepted"),
    CHANGE_REFUSED(2102, Severity.WARN, "configuration change refused"),
    CHANGE_UNKNOWN(2103, Severity.ERROR, "outcome of a configuration change unknown; ask again with its operation id"),
    CHANGE_READ_BACK(2104, Severity.WARN, "answer of a change was lost; reading it back by its operation id"),
    OPERATOR_REFUSED(2105, Severity.WARN, "operator key missing or unknown"),
    PEER_CONNECTED(2201, Severity.INFO, "peer connected"),
    PEER_DISCONNECTED(2202, Severity.INFO, "peer disconnected"),
    PEER_CONNECT_FAILED(2203, Severity.WARN, "peer can't be reached; retrying with backoff"),
    PEER_FRAME_INVALID(2204, Severity.WARN, "invalid data on the peer port; connection closed"),
    PEER_QUEUE_FULL(2205, Severity.WARN, "send queue to a peer is full; messages dropped"),
    TLS_RELOADED(2301, Severity.INFO, "TLS files reloaded"),
    TLS_RELOAD_FAILED(2302, Severity.ERROR, "TLS files can't be loaded; keeping the last ones"),
    ENTRY_HOST_STARTED(2401, Severity.INFO, "entry host listens on its ports"),
    ENTRY_HOST_READY(2402, Severity.INFO, "entry host is ready for callers"),
    SHUTDOWN_STARTED(2403, Severity.INFO, "shutdown started; not ready from now on"),
    SHUTDOWN_DRAINING(2404, Severity.INFO, "shutdown drains open requests"),
    SHUTDOWN_TIMED_OUT(2405, Severity.ERROR, "shutdown grace passed with requests open; closing them"),
    SHUTDOWN_COMPLETED(2406, Severity.INFO, "shutdown completed"),
    START_FAILED(2407, Severity.ERROR, "entry host can't start"),
    EVENTS_SUPPRESSED(2408, Severity.WARN, "events of one number came too often; some were not logged"),
    ACTION_FAILED(2409, Severity.ERROR, "an action on an answer failed; report this as a defect");

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
