package org.basilswitch.event;

/** Counters of the core. docs/METRICS.md lists them, and a test checks that both agree. */
public enum CounterCode {
    REQUESTS_ACCEPTED("basilswitch.requests.accepted", "queue"),
    REQUESTS_REFUSED("basilswitch.requests.refused", "reason"),
    ATTEMPTS_STARTED("basilswitch.attempts.started", "pool"),
    ATTEMPTS_FAILED("basilswitch.attempts.failed", "reason"),
    RETRIES("basilswitch.retries", "reason"),
    CLAIMS("basilswitch.claims", "verdict"),
    CLAIM_COMMITS("basilswitch.claim.commits", "result"),
    LIMIT_COMMITS("basilswitch.limit.commits", "result"),
    STORE_RETRIES("basilswitch.store.retries", "call"),
    ADMINISTRATION_CHANGES("basilswitch.administration.changes", "result"),
    SERVERS_EJECTED("basilswitch.servers.ejected", "reason"),
    INVARIANT_VIOLATIONS("basilswitch.invariant.violations", "invariant"),
    CALLERS_REJECTED("basilswitch.callers.rejected", "reason"),
    WORKER_ANSWERS_DROPPED("basilswitch.worker.answers.dropped", "reason"),
    PEER_MESSAGES_DROPPED("basilswitch.peer.messages.dropped", "reason"),
    PEER_FRAMES_INVALID("basilswitch.peer.frames.invalid", "reason"),
    CONNECTIONS_SHED("basilswitch.connections.shed", "reason"),
    JOBS_ACCEPTED("basilswitch.jobs.accepted", "queue"),
    JOBS_REFUSED("basilswitch.jobs.refused", "reason"),
    JOBS_TURNED_AWAY("basilswitch.jobs.turned.away", "queue"),
    JOBS_ENDED("basilswitch.jobs.ended", "state"),
    RUNS_STARTED("basilswitch.runs.started", "pool"),
    RUNS_ENDED("basilswitch.runs.ended", "kind"),
    LOCALITY_RUNS("basilswitch.locality.runs", "place"),
    LOCALITY_WAITS("basilswitch.locality.waits", "result"),
    ADVICE_CALLS("basilswitch.advice.calls", "result"),
    HOLDS_LOST("basilswitch.holds.lost", ""),
    CLOCK_JUMPS("basilswitch.clock.jumps", "direction"),
    ZONE_EVACUATIONS("basilswitch.zone.evacuations", "change"),
    EVENTS_SUPPRESSED("basilswitch.events.suppressed", "event");

    private final String metric;
    private final String tagName;

    CounterCode(String metric, String tagName) {
        this.metric = metric;
        this.tagName = tagName;
    }

    /** Returns the counter's Micrometer name. */
    public String metric() {
        return metric;
    }

    /** Returns the name of the counter's only tag; empty when it has none. */
    public String tagName() {
        return tagName;
    }
}
