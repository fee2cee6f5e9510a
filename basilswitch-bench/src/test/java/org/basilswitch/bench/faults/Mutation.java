package org.basilswitch.bench.faults;

import java.util.List;

/**
 * A deliberate break of the core that the fault run has to catch.
 *
 * @param name what is broken
 * @param guarantee guarantee expected to be seen broken
 * @param file source file below org/basilswitch
 * @param from text that stands there once
 * @param to text in its place
 */
record Mutation(String name, String guarantee, String file, String from, String to) {
    private static final String LEASES = "membership/PeerLeases.java";
    private static final String EDITOR = "membership/MembersEditor.java";
    private static final String BUCKET = "claim/ClaimBucket.java";
    private static final String LIMITS = "limit/AllotmentService.java";

    /** All deliberate breaks. */
    static final List<Mutation> ALL = List.of(
            new Mutation(
                    "acknowledges without waiting for its promises to lapse",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "Math.min(follower.knownRevision(), oldestPromisedRevision())",
                    "follower.knownRevision()"),
            new Mutation(
                    "promises whatever the sender's revision",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "return holderRevision >= follower.knownRevision();",
                    "return true;"),
            new Mutation(
                    "starts work without promises",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "return remainingNanos() > 0;",
                    "return true;"),
            new Mutation(
                    "counts a change as in force with one acknowledgement",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "&& acknowledgedBy(revision).size() >= members.get().majority();",
                    "&& acknowledgedBy(revision).size() >= 1;"),
            new Mutation(
                    "counts a promise from its answer's arrival",
                    "CONFIGURATION_IN_FORCE",
                    LEASES,
                    "Math.max(peer.heldUntilNanos, sentNanos + times.holderNanos())",
                    "clock.monotonicNanos() + times.holderNanos()"),
            new Mutation(
                    "successor does not wait out its predecessor's promises",
                    "CONFIGURATION_IN_FORCE",
                    EDITOR,
                    "leases.suspendUntilPredecessorLapses();",
                    ""),
            new Mutation(
                    "changes the members before the last change is in force",
                    "CONFIGURATION_IN_FORCE",
                    EDITOR,
                    "return view.members().isEmpty() || leases.isInForce(follower.membersRevision());",
                    "return true;"),
            new Mutation(
                    "takes any update, also an older one",
                    "CONFIGURATION_NEVER_REVERTS",
                    "configuration/ConfigurationFollower.java",
                    "if (closed || !loaded || update.toRevision() <= revision()) {",
                    "if (closed || !loaded) {"),
            new Mutation(
                    "does not look at a key again before sending",
                    "WITHDRAWN_KEY_STOPS",
                    "dispatch/AttemptRunner.java",
                    "return PoolDispatcher.checkAllowed(context.configuration().get(), request);",
                    "return Either.right(request.queue());"),
            new Mutation(
                    "reclaims the units of a departed host at once",
                    "UPPER_LIMIT",
                    "limit/DepartedMembers.java",
                    "return Duration.ofNanos(Math.max(0, reclaimDelay.get().toNanos() - elapsedNanos));",
                    "return Duration.ZERO;"),
            new Mutation(
                    "hands units over before they are idle",
                    "UPPER_LIMIT",
                    "limit/AllotmentPlan.java",
                    "Math.min(allotment.reservedUnits(inputs.nowNanos()), allotment.idleUnits())",
                    "allotment.reservedUnits(inputs.nowNanos())"),
            new Mutation(
                    "goes on using units that it is handing over",
                    "UPPER_LIMIT",
                    "limit/TeamAllotment.java",
                    "releasingUnits += count;",
                    "releasingUnits += 0 * count;"),
            new Mutation(
                    "uses units again whose hand-over had a lost answer",
                    "UPPER_LIMIT",
                    LIMITS,
                    "telemetry.count(CounterCode.LIMIT_COMMITS, \"unknown\");",
                    "allotment.endRelease(plan.releasedUnits());"),
            new Mutation(
                    "takes more units than are free",
                    "ALLOTMENTS_FIT",
                    "limit/AllotmentPlan.java",
                    "Math.max(0, Math.min(base.freeUnits(), share))",
                    "share"),
            new Mutation(
                    "keeps its units in mind after it was out of the members record",
                    "UPPER_LIMIT",
                    LIMITS,
                    "teams.values().forEach(TeamAllotment::reset);",
                    ""),
            new Mutation(
                    "commits claims without comparing the fence",
                    "AT_MOST_ONCE",
                    BUCKET,
                    ".compare(keys.claimFence(bucket), fenceRevision)",
                    ""),
            new Mutation(
                    "serves a bucket without reading its groups",
                    "AT_MOST_ONCE",
                    BUCKET,
                    "table = ClaimTable.load(range.entries().stream()",
                    "table = ClaimTable.load(range.entries().stream().limit(0)"),
            new Mutation(
                    "releases any claim of the id, whoever made it",
                    "AT_MOST_ONCE",
                    "claim/ClaimTable.java",
                    "if (claim == null || claim.correlation() != correlation) {",
                    "if (claim == null) {"),
            new Mutation(
                    "takes a claim as granted when the commit's answer is lost",
                    "AT_MOST_ONCE",
                    BUCKET,
                    "telemetry.event(EventCode.CLAIM_COMMIT_UNKNOWN, \"bucket=\" + bucket);",
                    "commit.claims.forEach(PendingClaim::completeGranted);"),
            new Mutation(
                    "sends without a claim",
                    "AT_MOST_ONCE",
                    "dispatch/Request.java",
                    "return !claimed && !queue.idempotent() && spec.idempotencyKey().isPresent();",
                    "return false;"),
            new Mutation(
                    "calls every refusal not run",
                    "NOT_RUN_IS_TRUE",
                    "dispatch/Request.java",
                    "mayHaveRun() ? Refusal.Outcome.UNKNOWN : Refusal.Outcome.NOT_RUN",
                    "Refusal.Outcome.NOT_RUN"),
            new Mutation(
                    "retries requests that may have run",
                    "AT_MOST_ONCE",
                    "dispatch/AttemptRunner.java",
                    "if (request.mayHaveRun() && !request.queue().idempotent()) {",
                    "if (false) {"),
            new Mutation(
                    "lets waiting requests wait without end",
                    "ANSWERED_BY_DEADLINE",
                    "dispatch/PoolDispatcher.java",
                    "request.setExpiryTimer(context.scheduler().schedule(delay, () -> expire(request)));",
                    ""),
            new Mutation(
                    "sends to hosts in any state",
                    "LEAVING_SERVER_GETS_NOTHING",
                    "dispatch/PoolDispatcher.java",
                    "servers.update(configuration.hostsOf(pool));",
                    "servers.update(configuration.hostsOf(pool).stream()"
                            + ".map(host -> host.withState(org.basilswitch.configuration.HostState.ACTIVE)).toList());"),
            new Mutation(
                    "leaves without waiting for its open requests",
                    "SHUTDOWN_CUTS_NOTHING",
                    "entry/EntryHost.java",
                    "return waitUntil(() -> broker.openRequests() == 0, Duration.ofDays(1))",
                    "return waitUntil(() -> true, Duration.ofDays(1))"),
            new Mutation(
                    "does not join again after it was removed",
                    "RECOVERS",
                    "membership/Membership.java",
                    "if (!leaving && follower.loaded() && !view.contains(options.self.id())) {",
                    "if (!wasServing && view.members().size() < 2 && follower.loaded()) {"));
}
