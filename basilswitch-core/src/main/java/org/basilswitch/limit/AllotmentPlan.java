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
        int transferredUnits,
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
    record PlanInputs(
            Optional<Integer> limitUnits,
            long configurationRevision,
            int members,
            long membersRevision,
            boolean leaving,
            long nowNanos) {}

    /** Works out the next change; its record equals the allotment's when there is nothing to change. */
    static AllotmentPlan of(TeamAllotment allotment, MemberId self, AllotmentRecord reclaimed, PlanInputs inputs) {
        AllotmentRecord base = withLimit(reclaimed, inputs);
        boolean reclaims = !reclaimed.equals(allotment.record());
        int released = inputs.leaving() ? allotment.idleUnits() : allotment.excessUnits();
        if (released > 0) {
            return new AllotmentPlan(
                    base.withUnitsAdded(self, -released),
                    released,
                    0,
                    Optional.empty(),
                    reclaims,
                    inputs.membersRevision());
        }
        int transferred = Math.min(allotment.reservedUnits(inputs.nowNanos()), allotment.idleUnits());
        if (transferred > 0 && allotment.reservedFor().isPresent()) {
            MemberId to = allotment.reservedFor().get();
            AllotmentRecord next = base.withUnitsAdded(self, -transferred).withUnitsAdded(to, transferred);
            return new AllotmentPlan(
                    next, transferred, transferred, Optional.of(to), reclaims, inputs.membersRevision());
        }
        int wanted = allotment.wantedUnits(inputs.nowNanos());
        int share = Math.max(wanted, base.freeUnits() / Math.max(1, inputs.members()));
        int taken = wanted == 0 || inputs.leaving() ? 0 : Math.max(0, Math.min(base.freeUnits(), share));
        AllotmentRecord next = taken == 0 ? base : base.withUnitsAdded(self, taken);
        return new AllotmentPlan(next, 0, 0, Optional.empty(), reclaims, inputs.membersRevision());
    }

    private static AllotmentRecord withLimit(AllotmentRecord record, PlanInputs inputs) {
        boolean newer = inputs.configurationRevision() > record.limitRevision();
        int limit = inputs.limitUnits().orElse(0);
        return newer && limit != record.limitUnits() ? record.withLimit(limit, inputs.configurationRevision()) : record;
    }

    Transaction toTransaction(StoreKeys keys, TeamAllotment allotment) {
        Transaction.Builder builder =
                Transaction.builder().compare(keys.allotment(allotment.team()), allotment.recordRevision());
        if (reclaimed || receiver.isPresent()) {
            // Whoever is reclaimed from is still out of the members record, and whoever receives is still in it.
            builder.compare(keys.members(), membersRevision);
        }
        return builder.put(keys.allotment(allotment.team()), next.encode()).build();
    }
}
