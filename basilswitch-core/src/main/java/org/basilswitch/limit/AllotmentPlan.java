package org.basilswitch.limit;

import java.util.Optional;

import org.basilswitch.peer.MemberId;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/**
 * A planned change of a team's allotment record.
 *
 * @param next the record to write
 * @param releasedUnits units that this host releases, to a peer or for any host to take
 * @param transferredUnits released units that go to {@code receiver}
 * @param receiver the peer that gets the transferred units
 * @param reclaimed whether units of departed members are freed
 * @param membersRevision revision of the members record that the change was planned with
 */
record AllotmentPlan(
        AllotmentRecord next,
        int releasedUnits,
        int transferredUnits,
        Optional<MemberId> receiver,
        boolean reclaimed,
        long membersRevision) {

    /**
     * Inputs of a plan besides the allotment.
     *
     * @param limitUnits the team's limit; empty when the team is not configured
     * @param configurationRevision revision that the limit is taken from
     * @param members number of members of the site
     * @param membersRevision revision of the members record
     * @param leaving whether this host releases all its units
     * @param nowNanos monotonic time, in nanoseconds
     */
    record PlanInputs(
            Optional<Integer> limitUnits,
            long configurationRevision,
            int members,
            long membersRevision,
            boolean leaving,
            long nowNanos) {}

    /**
     * Plans the next change: releases excess units, or transfers units reserved for a peer, or takes free units. The
     * planned record equals the allotment's when there is nothing to change.
     *
     * @param allotment this host's allotment
     * @param self this host
     * @param reclaimed the allotment's record without the units that can be reclaimed
     * @param inputs the other inputs
     */
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
            // The commit fails if a host whose units are reclaimed has rejoined or the receiver has left meanwhile.
            builder.compare(keys.members(), membersRevision);
        }
        return builder.put(keys.allotment(allotment.team()), next.encode()).build();
    }
}
