package org.basilswitch.bench.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks the service guarantees against the observations of the simulated workers, callers and operators. Guarantees
 * about pools, budgets and waves are checked by the fleet run (package {@code org.basilswitch.bench.fleet}).
 */
final class ServiceGuarantees {
    /** Guarantees by the names that violations are printed with. */
    enum Guarantee {
        CONFIGURATION_IN_FORCE,
        CONFIGURATION_NEVER_REVERTS,
        WITHDRAWN_KEY_STOPS,
        UPPER_LIMIT,
        ALLOTMENTS_FIT,
        AT_MOST_ONCE,
        NOT_RUN_IS_TRUE,
        OWN_ANSWER_ONCE,
        ANSWERED_BY_DEADLINE,
        LEAVING_SERVER_GETS_NOTHING,
        SHUTDOWN_CUTS_NOTHING,
        RECOVERS
    }

    /**
     * A violated guarantee.
     *
     * @param guarantee violated guarantee
     * @param atMs virtual time, in milliseconds
     * @param detail observed values
     */
    record Violation(Guarantee guarantee, long atMs, String detail) {}

    /**
     * Longest time for which a leaving worker may still be sent requests once its leaving is in force, in
     * milliseconds.
     */
    private static final long MAX_SEND_AFTER_LEAVING_MS = 5_000;

    private final FaultSite site;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> lastSums = new HashMap<>();
    private final Map<String, Long> claimedStarts = new HashMap<>();
    private final Map<EntryProcess, Long> revisions = new HashMap<>();
    private long revisionInForce;
    private long checks;

    ServiceGuarantees(FaultSite site) {
        this.site = site;
    }

    List<Violation> violations() {
        return violations;
    }

    long checks() {
        return checks;
    }

    void check(boolean holds, Guarantee guarantee, String detail) {
        checks++;
        if (!holds) {
            violations.add(new Violation(guarantee, site.nowMs(), detail));
            site.trace("VIOLATION " + guarantee + " " + detail);
        }
    }

    /** Records that an entry host reported a change as in force. */
    void recordInForce(long revision) {
        revisionInForce = Math.max(revisionInForce, revision);
    }

    /** Checks an attempt when an entry host is about to write its first byte to a worker. */
    void checkSend(EntryProcess process, SimulatedCallers.Call call, SimulatedWorkers.Worker worker) {
        long revision = process.host().configuration().revision();
        check(
                revision >= revisionInForce,
                Guarantee.CONFIGURATION_IN_FORCE,
                process + " uses revision " + revision + ", in force is " + revisionInForce);
        long withdrawn = site.operators().withdrawnRevision(call.keyName());
        check(
                withdrawn == 0 || withdrawn > revisionInForce,
                Guarantee.WITHDRAWN_KEY_STOPS,
                call + " key withdrawn at " + withdrawn);
        long left = site.operators().leavingSinceMs(worker.name());
        check(
                site.nowMs() - left <= MAX_SEND_AFTER_LEAVING_MS,
                Guarantee.LEAVING_SERVER_GETS_NOTHING,
                call + " to " + worker.name() + ", leaving since " + left + " ms");
    }

    /** Records and checks the start of a request at a worker. */
    void recordStart(SimulatedCallers.Call call, String team) {
        int now = running.merge(team, 1, Integer::sum);
        int allowed = Math.max(
                site.operators().limit(team),
                site.allotments(team).map(FaultSite.AllotmentTotals::sum).orElse(0));
        check(now <= allowed, Guarantee.UPPER_LIMIT, team + " runs " + now + " of " + allowed + ", last " + call);
        check(
                !call.refusedAsNotRun(),
                Guarantee.NOT_RUN_IS_TRUE,
                call + " started after it had been refused as not run");
        if (call.nonIdempotent()) {
            check(call.starts() == 1, Guarantee.AT_MOST_ONCE, call + " starts " + call.starts());
            call.idempotencyKey().ifPresent(key -> {
                Long earlier = claimedStarts.put(key, site.nowMs());
                check(earlier == null, Guarantee.AT_MOST_ONCE, call + " repeats " + key + " run before at " + earlier);
            });
        }
    }

    /** Records that a worker ended a request of a team. */
    void recordEnd(String team) {
        running.merge(team, -1, Integer::sum);
    }

    /** Checks a call that ended with an answer or, when {@code answerOf} is empty, with a refusal. */
    void checkCallEnd(SimulatedCallers.Call call, Optional<SimulatedCallers.Call> answerOf) {
        check(call.ends() == 1, Guarantee.OWN_ANSWER_ONCE, call + " ended " + call.ends() + " times");
        answerOf.ifPresent(
                other -> check(other == call, Guarantee.OWN_ANSWER_ONCE, call + " got the answer of " + other));
        if (call.refusedAsNotRun()) {
            check(call.starts() == 0, Guarantee.NOT_RUN_IS_TRUE, call + " was refused as not run after it had started");
        }
    }

    /** Checks the allotments in the store and the revision of each entry host's configuration. */
    void checkSite() {
        for (String team : FaultSite.TEAMS) {
            site.allotments(team).ifPresent(division -> {
                int before = lastSums.getOrDefault(team, 0);
                check(
                        division.sum() <= Math.max(division.limit(), before),
                        Guarantee.ALLOTMENTS_FIT,
                        team + " allots " + division.sum() + " of " + division.limit());
                lastSums.put(team, division.sum());
            });
        }
        for (EntryProcess process : site.processes()) {
            long revision = process.host().configuration().revision();
            long before = revisions.getOrDefault(process, 0L);
            check(
                    revision >= before,
                    Guarantee.CONFIGURATION_NEVER_REVERTS,
                    process + " reverted from revision " + before);
            revisions.put(process, revision);
        }
    }
}
