package org.basilswitch.bench.faults;

import java.util.List;

/**
 * A mutation of the core's source that the fault run has to detect.
 *
 * @param name description of the mutated behaviour
 * @param guarantee name of the guarantee whose violation is expected
 * @param file source file, relative to org/basilswitch
 * @param from text to replace, which occurs once in the file
 * @param to replacement
 */
record Mutation(String name, String guarantee, String file, String from, String to) {
    private static final String LEASES = "membership/PeerLeases.java";
    private static final String EDITOR = "membership/MembersEditor.java";
    private static final String BUCKET = "claim/ClaimBucket.java";
    private static final String LIMITS = "limit/AllotmentService.java";

    /** All mutations. */
    static final List<Mutation> ALL = List.of(
            new Mutation(
                    "acknowledges a revision before its granted promises expire",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "Math.min(follower.knownRevision(), oldestPromisedRevision())",
                    "follower.knownRevision()"),
            new Mutation(
                    "grants promises to a sender with an older revision",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "return holderRevision >= follower.knownRevision();",
                    "return true;"),
            new Mutation(
                    "starts work without promises of a majority",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "return remainingNanos() > 0;",
                    "return true;"),
            new Mutation(
                    "reports a change as in force after one acknowledgement",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "&& acknowledgedBy(revision).size() >= members.get().majority();",
                    "&& acknowledgedBy(revision).size() >= 1;"),
            new Mutation(
                    "measures a promise from the arrival of its answer",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "Math.max(peer.heldUntilNanos, sentNanos + times.holderNanos())",
                    "holderClock.monotonicNanos() + times.holderNanos()"),
            new Mutation(
                    "restarted process does not wait until its predecessor's promises expire",
                    "CONFIGURATION_IN_FORCE",
                    EDITOR,
                    "leases.suspendUntilPredecessorLapses();",
                    ""),
            new Mutation(
                    "changes the members before the previous change is in force",
                    "CONFIGURATION_IN_FORCE",
                    EDITOR,
                    "return view.members().isEmpty() || leases.isInForce(follower.membersRevision());",
                    "return true;"),
            new Mutation(
                    "applies configuration updates older than the current revision",
                    "CONFIGURATION_NEVER_REVERTS",
                    "configuration/ConfigurationFollower.java",
                    "if (closed || !loaded || update.toRevision() <= revision()) {",
                    "if (closed || !loaded) {"),
            new Mutation(
                    "does not check the key again before sending",
                    "WITHDRAWN_KEY_STOPS",
                    "dispatch/AttemptRunner.java",
                    "return PoolDispatcher.checkAllowed(context.configuration().get(), request);",
                    "return Either.right(request.queue());"),
            new Mutation(
                    "reclaims the units of a departed host immediately",
                    "UPPER_LIMIT",
                    "limit/DepartedMembers.java",
                    "return Duration.ofNanos(Math.max(0, reclaimDelay.get().toNanos() - elapsedNanos));",
                    "return Duration.ZERO;"),
            new Mutation(
                    "releases units that are still in use",
                    "UPPER_LIMIT",
                    "limit/AllotmentPlan.java",
                    "Math.min(allotment.reservedUnits(inputs.nowNanos()), allotment.idleUnits())",
                    "allotment.reservedUnits(inputs.nowNanos())"),
            new Mutation(
                    "keeps using units that it is releasing",
                    "UPPER_LIMIT",
                    "limit/TeamAllotment.java",
                    "releasingUnits += count;",
                    "releasingUnits += 0 * count;"),
            new Mutation(
                    "reuses units after the answer to their release was lost",
                    "UPPER_LIMIT",
                    LIMITS,
                    "telemetry.count(CounterCode.LIMIT_COMMITS, \"unknown\");",
                    "allotment.endRelease(plan.releasedUnits());"),
            new Mutation(
                    "takes more units than are unallotted",
                    "ALLOTMENTS_FIT",
                    "limit/AllotmentPlan.java",
                    "Math.max(0, Math.min(base.freeUnits(), share))",
                    "share"),
            new Mutation(
                    "keeps its units after it was removed from the members record",
                    "UPPER_LIMIT",
                    LIMITS,
                    "teams.values().forEach(TeamAllotment::reset);",
                    ""),
            new Mutation(
                    "commits claims without comparing the fencing token",
                    "AT_MOST_ONCE",
                    BUCKET,
                    ".compare(keys.claimFence(bucket), fenceRevision)",
                    ""),
            new Mutation(
                    "serves a claim bucket without loading its stored claims",
                    "AT_MOST_ONCE",
                    BUCKET,
                    "groups = range.entries().stream()",
                    "groups = range.entries().stream().limit(0)"),
            new Mutation(
                    "releases a claim that another request made for the same key",
                    "AT_MOST_ONCE",
                    "claim/ClaimTable.java",
                    "if (claim == null || claim.correlation() != correlation) {",
                    "if (claim == null) {"),
            new Mutation(
                    "grants a claim when the answer to its commit is lost",
                    "AT_MOST_ONCE",
                    BUCKET,
                    "telemetry.event(EventCode.CLAIM_COMMIT_UNKNOWN, \"bucket=\" + bucket);",
                    "commit.claims.forEach(PendingClaim::completeGranted);"),
            new Mutation(
                    "sends a non-idempotent request without a claim",
                    "AT_MOST_ONCE",
                    "dispatch/Request.java",
                    "return !claimed && !queue.idempotent() && spec.idempotencyKey().isPresent();",
                    "return false;"),
            new Mutation(
                    "reports every refusal as not run",
                    "NOT_RUN_IS_TRUE",
                    "dispatch/Request.java",
                    "mayHaveRun() ? Refusal.Outcome.UNKNOWN : Refusal.Outcome.NOT_RUN",
                    "Refusal.Outcome.NOT_RUN"),
            new Mutation(
                    "retries non-idempotent requests that may have run",
                    "AT_MOST_ONCE",
                    "dispatch/AttemptRunner.java",
                    "if (request.mayHaveRun() && !request.queue().idempotent()) {",
                    "if (false) {"),
            new Mutation(
                    "does not expire waiting requests",
                    "ANSWERED_BY_DEADLINE",
                    "dispatch/PoolDispatcher.java",
                    "request.setExpiryTimer(context.scheduler().schedule(delay, () -> expire(request)));",
                    ""),
            new Mutation(
                    "sends to servers in any state",
                    "LEAVING_SERVER_GETS_NOTHING",
                    "dispatch/PoolDispatcher.java",
                    "servers.update(configuration.hostsOf(pool));",
                    "servers.update(configuration.hostsOf(pool).stream()"
                            + ".map(host -> host.withState(org.basilswitch.configuration.HostState.ACTIVE)).toList());"),
            new Mutation(
                    "shuts down without waiting for its open requests",
                    "SHUTDOWN_CUTS_NOTHING",
                    "entry/EntryHost.java",
                    "return waitUntil(() -> broker.openRequests() == 0, Duration.ofDays(1))",
                    "return waitUntil(() -> true, Duration.ofDays(1))"),
            new Mutation(
                    "does not rejoin after it was removed",
                    "RECOVERS",
                    "membership/Membership.java",
                    "if (!leaving && follower.isLoaded() && !view.contains(options.self.id())) {",
                    "if (!wasServing && view.members().size() < 2 && follower.isLoaded()) {"));
}
