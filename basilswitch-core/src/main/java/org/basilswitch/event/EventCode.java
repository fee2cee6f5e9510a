package org.basilswitch.event;

/**
 * Numbered log events. docs/LOG-EVENTS.md is generated from this list, and a test checks that both agree.
 *
 * <p>Number ranges: 1000 configuration, 1100 membership, 1200 limits, 1300 claims, 1400 dispatch and admission,
 * 1500 placement, 1600 fleet, 1700 maintenance, 1800 store, 1900 jobs, 2000 callers, 2100 administration, 2200 peers,
 * 2300 TLS, 2400 life cycle.
 */
public enum EventCode {
    CONFIGURATION_LOADED(1001, Severity.INFO, "configuration loaded from the store"),
    CONFIGURATION_APPLIED(1002, Severity.INFO, "configuration changes applied"),
    CONFIGURATION_COMPACTED(1003, Severity.WARN, "configuration watch was compacted; reading again"),
    CONFIGURATION_RECORD_INVALID(1004, Severity.ERROR, "configuration record can't be decoded; keeping the last one"),
    CONFIGURATION_READ_FAILED(1005, Severity.WARN, "configuration can't be read from the store; retrying"),
    CONFIGURATION_GAP(1006, Severity.INFO, "a peer's configuration is newer; asking it for the changes"),
    CONFIGURATION_RELAYED(1007, Severity.DEBUG, "configuration changes received from a peer"),
    MEMBER_JOINED(1101, Severity.INFO, "this entry host was added to the members record"),
    MEMBER_LEFT(1102, Severity.INFO, "this entry host left the members record"),
    MEMBER_REMOVED(1103, Severity.WARN, "an unresponsive entry host was removed from the members record"),
    MEMBER_CHANGE_FAILED(1104, Severity.INFO, "the members record could not be changed; retrying"),
    MEMBER_EXPELLED(1105, Severity.WARN, "other entry hosts removed this one; joining again"),
    MEMBERS_CHANGED(1106, Severity.INFO, "the members record changed"),
    SERVING_STARTED(1107, Severity.INFO, "a majority of the members granted promises; work may start"),
    SERVING_STOPPED(1108, Severity.WARN, "no majority of the members grants promises; work is refused as not run"),
    LIMIT_RECLAIMED(1201, Severity.INFO, "units of a departed entry host were reclaimed"),
    LIMIT_STORE_FAILED(1202, Severity.DEBUG, "an allotment could not be changed in the store; retrying"),
    LIMIT_RESET(
            1204, Severity.WARN, "this entry host was missing from the members record; reading its allotments again"),
    CLAIM_BUCKET_TAKEN(1301, Severity.INFO, "claim bucket acquired by this entry host"),
    CLAIM_BUCKET_LOST(1302, Severity.INFO, "claim bucket lost to another entry host"),
    CLAIM_COMMIT_UNKNOWN(1303, Severity.WARN, "the response to a claim commit was lost; reading the bucket back"),
    CLAIM_STORE_FAILED(1304, Severity.WARN, "a claim bucket can't be read or written; claims are refused"),
    REQUEST_SET_ASIDE(1401, Severity.WARN, "request failed on several distinct backend servers and is not retried"),
    INVARIANT_VIOLATED(1402, Severity.ERROR, "an invariant of request handling was violated; report this as a defect"),
    RETRY_BUDGET_EMPTY(1403, Severity.WARN, "retry budget of the queue is exhausted; failures are not retried"),
    URGENT_WAITING(1404, Severity.INFO, "urgent requests wait for slots held by background work"),
    SERVER_EJECTED(1501, Severity.WARN, "backend server ejected after failures or missing responses"),
    SERVER_RETURNED(1502, Severity.INFO, "backend server answered its probes and receives requests again"),
    DUTY_ACQUIRED(1601, Severity.INFO, "controller leadership acquired"),
    DUTY_LOST(1602, Severity.WARN, "controller leadership lost"),
    HOST_STEPPED(1603, Severity.INFO, "host state changed"),
    HOST_MOVED(1604, Severity.INFO, "host moved to another pool"),
    HOST_CHANGE_FAILED(1605, Severity.WARN, "host could not be changed; retrying"),
    WAVE_HALTED(1701, Severity.ERROR, "maintenance wave halted"),
    WAVE_COMPLETED(1702, Severity.INFO, "maintenance wave completed"),
    WAVE_HOST_DONE(1703, Severity.INFO, "host maintenance completed"),
    WAVE_HOST_FAULTY(1704, Severity.WARN, "host did not return from its reboot"),
    ZONE_EVACUATED(1705, Severity.INFO, "availability zone takes no new work at the operator's request"),
    ZONE_EVACUATION_WITHDRAWN(1706, Severity.INFO, "availability zone takes new work again"),
    ALL_ZONES_EVACUATED(1707, Severity.WARN, "all availability zones are evacuated; no work is started"),
    EVACUATED_ZONE_UNKNOWN(1708, Severity.WARN, "request to evacuate a zone that the deployment does not have"),
    EVACUATIONS_UNREADABLE(1709, Severity.WARN, "evacuated zones can't be read; keeping the last list for some time"),
    EVACUATIONS_READ(1710, Severity.INFO, "evacuated zones can be read again"),
    SCHEDULER_STARTED(1901, Severity.INFO, "scheduler has read the jobs and tracks the backend servers"),
    SCHEDULER_STOPPED(1902, Severity.WARN, "scheduler stopped; another entry host may be the leader"),
    JOB_ACCEPTED(1903, Severity.INFO, "job accepted and stored"),
    JOB_REFUSED(1904, Severity.INFO, "job refused; it has not run and will not run"),
    JOB_UNDECIDED(1905, Severity.WARN, "unknown whether the job was accepted; the caller must retry"),
    JOB_CANCELLED(1906, Severity.INFO, "job cancelled"),
    JOB_ENDED(1907, Severity.INFO, "job reached its final state"),
    RUN_ORDERED(1908, Severity.DEBUG, "start command sent for a work item"),
    RUN_REJECTED(1909, Severity.INFO, "backend server did not start a work item"),
    RUN_DOUBTFUL(
            1910,
            Severity.WARN,
            "start command of a work item was not answered; the run is blocked before the item is started elsewhere"),
    RUN_LOST(1911, Severity.INFO, "run of a work item ended without a reported result"),
    RUN_FAILED(1912, Severity.INFO, "run of a work item failed"),
    RUN_UNKNOWN(1913, Severity.WARN, "backend server runs a work item that it should not run; stopping it"),
    SERVER_LIFETIME_ENDED(1914, Severity.INFO, "incarnation of a backend server ended"),
    JOB_RECORD_INVALID(1915, Severity.ERROR, "job record can't be decoded; the job is not run"),
    JOBS_READ_FAILED(1916, Severity.WARN, "jobs can't be read from the store; retrying"),
    SITE_LOADED(1917, Severity.INFO, "configuration of queues and teams loaded"),
    SITE_UNREADABLE(
            1918,
            Severity.WARN,
            "configuration of queues and teams can't be read; the last one stays in force, for a limited time without the store"),
    WAVE_STARTED(1919, Severity.INFO, "maintenance wave started"),
    HOST_ORDER_FAILED(1920, Severity.WARN, "command for a host was refused or not answered"),
    HOST_ORDERED(1921, Severity.INFO, "command to move or maintain a host was carried out"),
    PACE_FAILED(1922, Severity.INFO, "pace of a work item could not be set; retrying"),
    CALL_REFUSED(1923, Severity.INFO, "call refused"),
    JOBS_NOT_DELETED(1924, Severity.INFO, "records of ended jobs could not be deleted; they are deleted later"),
    SERVER_SLOW(1925, Severity.INFO, "backend server is slower than others; it receives no new work for some time"),
    RUN_RESTARTED(1926, Severity.INFO, "work item of a slow or unresponsive backend server is started on another one"),
    SERVER_FAILING(
            1927,
            Severity.WARN,
            "work items of several jobs failed on a backend server; it receives no new work for some time"),
    CALL_NOT_ADMITTED(1928, Severity.INFO, "call names a queue, key or job that does not exist"),
    CALL_TIMED_OUT(1929, Severity.WARN, "call was not decided within the caller's timeout"),
    CALL_HANDED_OVER(
            1930, Severity.INFO, "this host could not decide a call; it was forwarded to the scheduler's host"),
    ENTRY_SKIPPED(1931, Severity.WARN, "entry of another writer can't be used; it is skipped"),
    WAVE_BEHIND(1932, Severity.WARN, "maintenance wave has used most of its time; some hosts are left"),
    LEADERSHIP_HANDED_OVER(
            1933,
            Severity.WARN,
            "the store does not confirm the leadership but answers another host, which takes over"),
    JOB_DELETED(1934, Severity.INFO, "job was reported after its records had been deleted; it is not run"),
    OUTCOME_FOUND(
            1935,
            Severity.INFO,
            "a later attempt of a call was rejected after a write without an answer; the outcome was looked for"),
    JOB_RESUMED(
            1936,
            Severity.WARN,
            "an earlier version stored a long-running job as completed; it runs on until it is cancelled"),
    RUN_TAKEN_OVER(
            1937, Severity.WARN, "backend server runs a waiting work item that was not known to run; it goes on"),
    JOBS_TURNED_AWAY(1941, Severity.WARN, "jobs refused for lack of room in time; they have not run and will not run"),
    TEAM_LIMIT_TOO_LOW(1942, Severity.WARN, "work item or gang uses more than its team's limit"),
    ADVICE_ANSWERED(1943, Severity.DEBUG, "advice service told which servers may run a step"),
    ADVICE_BEHIND(
            1944,
            Severity.WARN,
            "advice service keeps steps from starting: too many calls, no answers, or tickets that servers reject"),
    PLACE_WAIT_STARTED(1946, Severity.INFO, "work item waits for a place near its data or group"),
    PLACE_WAIT_IN_VAIN(1947, Severity.INFO, "work item waited for a place near its data or group and starts elsewhere"),
    STORE_CALL_FAILED(1801, Severity.WARN, "store call refused or not answered"),
    STORE_WATCH_INTERRUPTED(1802, Severity.WARN, "store watch interrupted; opening it again"),
    STORE_WATCH_COMPACTED(1803, Severity.WARN, "store watch starts before the oldest kept revision; reading again"),
    LIVE_LIST_UNREADABLE(1804, Severity.WARN, "list of live hosts can't be read; keeping the last one for some time"),
    LIVE_LIST_READ(1805, Severity.INFO, "list of live hosts can be read again"),
    CALLER_REQUEST_MALFORMED(2001, Severity.INFO, "caller's request is malformed; refused"),
    CALLER_HEADERS_TOO_LARGE(2002, Severity.INFO, "caller's headers are too large; refused"),
    CALLER_BODY_TOO_LARGE(2003, Severity.INFO, "caller's body is over the limit; refused"),
    CALLER_HEADERS_STALLED(
            2004, Severity.INFO, "caller did not send complete request headers in time; connection closed"),
    CALLER_BODY_STALLED(2005, Severity.INFO, "caller stopped sending the body; refused"),
    CALLER_GONE(2006, Severity.DEBUG, "caller closed the connection before the response; request cancelled"),
    WORKER_ANSWER_MISMATCHED(
            2007, Severity.WARN, "backend server's response belongs to another request; response dropped"),
    WORKER_ANSWER_CUT(2008, Severity.WARN, "backend server's response was truncated; caller's connection closed"),
    CONNECTION_SHED(
            2009,
            Severity.WARN,
            "connection closed to save memory or descriptors; a request on it that was not read whole has not run"),
    CHANGE_ACCEPTED(2101, Severity.INFO, "configuration change accepted"),
    CHANGE_REFUSED(2102, Severity.WARN, "configuration change refused"),
    CHANGE_UNKNOWN(
            2103, Severity.ERROR, "outcome of a configuration change unknown; repeat it with the same operation id"),
    CHANGE_READ_BACK(2104, Severity.WARN, "response to a change was lost; reading its result back by operation id"),
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
    SHUTDOWN_DRAINING(2404, Severity.INFO, "shutdown waits for open requests"),
    SHUTDOWN_TIMED_OUT(2405, Severity.ERROR, "shutdown grace period expired with open requests; closing them"),
    SHUTDOWN_COMPLETED(2406, Severity.INFO, "shutdown completed"),
    START_FAILED(2407, Severity.ERROR, "entry host can't start"),
    EVENTS_SUPPRESSED(2408, Severity.WARN, "events of one number exceeded the rate limit; some were not logged"),
    ACTION_FAILED(
            2409, Severity.ERROR, "processing the result of an asynchronous call failed; report this as a defect"),
    CLOCK_JUMPED(
            2410,
            Severity.WARN,
            "the wall clock jumped against the monotonic clock; the host was suspended or its clock was set");

    private final int number;
    private final Severity severity;
    private final String text;

    EventCode(int number, Severity severity, String text) {
        this.number = number;
        this.severity = severity;
        this.text = text;
    }

    /** Returns the event's number, unique and stable across versions. */
    public int number() {
        return number;
    }

    /** Returns the severity at which the event is logged. */
    public Severity severity() {
        return severity;
    }

    /** Returns the description of the event, as written to the log and the catalogue. */
    public String text() {
        return text;
    }

    /** Severities, named as the Log4j levels. */
    public enum Severity {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }
}
