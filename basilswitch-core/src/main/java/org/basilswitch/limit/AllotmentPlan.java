package org.basilswitch.limit;

import java.util.Optional;

import org.basilswitch.peer.MemberId;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/**
 * One change of a team's allotment record.
 *
 * @param next the record to write
 * @param givenUnits units that this host gives up, to a peer or to nobody
 * @param handedUnits those of them that go to a peer
 * @param receiver the peer that gets units
 * @param reclaimed whether units of the departed are freed
 * @param membersRevision revision of the members record that the change was worked out from
 */
record AllotmentPlan(
        AllotmentRecord next,
        int releasedUnits,
        int handedUnits,
        Optional<MemberId> receiver,
        boolean reclaimed,
        long membersRevision) {

    /**
     * What a change depends on besides the allotment.
     *
     * @param limitUnits the team's limit; empty when the team is gone
     * @param configurationRevision revision that the limit is taken from
     * @param members number of members
     * @param membersRevision revision of the members record
     * @param surrendering whether this host is about to leave
     * @param nowNanos monotonic time
     */
    record Situation(
            Optional<Integer> limitUnits,
            long configurationRevision,
            int members,
            long membersRevision,
            boolean leaving,
            long nowNanos) {}

    /** Works out the next change; its record equals the allotment's when there is nothing to change. */
    static AllotmentPlan of(TeamAllotment allotment, MemberId self, AllotmentRecord reclaimed, Situation situation) {
        AllotmentRecord base = withLimit(reclaimed, situation);
        boolean freed = !reclaimed.equals(allotment.record());
        int excess = situation.leaving() ? allotment.idle() : allotment.excess();
        if (excess > 0) {
            return new AllotmentPlan(
                    base.adding(self, -excess), excess, 0, Optional.empty(), freed, situation.membersRevision());
        }
        int handed = Math.min(allotment.owed(situation.nowNanos()), allotment.idle());
        if (handed > 0 && allotment.creditor().isPresent()) {
            MemberId to = allotment.creditor().get();
            AllotmentRecord next = base.adding(self, -handed).adding(to, handed);
            return new AllotmentPlan(next, handed, handed, Optional.of(to), freed, situation.membersRevision());
        }
        int wanted = allotment.wanted(situation.nowNanos());
        int part = Math.max(wanted, base.free() / Math.max(1, situation.members()));
        int taken = wanted == 0 || situation.leaving() ? 0 : Math.max(0, Math.min(base.free(), part));
        AllotmentRecord next = taken == 0 ? base : base.adding(self, taken);
        return new AllotmentPlan(next, 0, 0, Optional.empty(), freed, situation.membersRevision());
    }

    private static AllotmentRecord withLimit(AllotmentRecord record, Situation situation) {
        boolean newer = situation.configurationRevision() > record.limitRevision();
        int limit = situation.limitUnits().orElse(0);
        return newer && limit != record.limitUnits()
                ? record.withLimit(limit, situation.configurationRevision())
                : record;
    }

    Transaction transaction(StoreKeys keys, TeamAllotment allotment) {
        Transaction.Builder builder =
                Transaction.builder().compare(keys.allotment(allotment.team()), allotment.recordRevision());
        if (reclaimed || receiver.isPresent()) {
            // Whoever is reclaimed from is still out of the members record, and whoever receives is still in it.
            builder.compare(keys.members(), membersRevision);
        }
        return builder.put(keys.allotment(allotment.team()), next.encode()).build();
    }
}
