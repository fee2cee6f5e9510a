package org.basilswitch.dispatch;

import java.time.Duration;

import org.basilswitch.admission.PoolShares;
import org.basilswitch.configuration.Host;
import org.basilswitch.limit.TeamLimits;
import org.basilswitch.placement.PoolServers;
import org.basilswitch.time.Scheduler;

/** Holds one unit of a team's limit and one server slot, and releases each exactly once. */
final class CapacityReservation {
    private final String team;
    private final Host server;
    private final TeamLimits limits;
    private final PoolShares shares;
    private final PoolServers servers;
    private final Invariants invariants;
    private boolean slotHeld = true;
    private boolean unitHeld = true;

    private CapacityReservation(
            String team,
            Host server,
            TeamLimits limits,
            PoolShares shares,
            PoolServers servers,
            Invariants invariants) {
        this.team = team;
        this.server = server;
        this.limits = limits;
        this.shares = shares;
        this.servers = servers;
        this.invariants = invariants;
    }

    /** Reserves a server slot for a team whose unit has already been acquired. */
    static CapacityReservation reserve(
            String team,
            Host server,
            TeamLimits limits,
            PoolShares shares,
            PoolServers servers,
            Invariants invariants) {
        CapacityReservation reservation = new CapacityReservation(team, server, limits, shares, servers, invariants);
        shares.addRunning(team, 1);
        servers.recordStart(server, reservation);
        return reservation;
    }

    Host server() {
        return server;
    }

    /** Releases the slot and the unit. */
    void release(PoolServers.Result result) {
        releaseSlot(result);
        releaseUnit();
    }

    /** Releases the slot now, and the unit after a delay, when the server has certainly ended the request. */
    void releaseAfter(PoolServers.Result result, Duration unitDelay, Scheduler scheduler) {
        releaseSlot(result);
        scheduler.schedule(unitDelay, this::releaseUnit);
    }

    private void releaseSlot(PoolServers.Result result) {
        if (invariants.check(slotHeld, "slot-released-once", "team=" + team)) {
            slotHeld = false;
            servers.recordEnd(server, this, result);
            shares.addRunning(team, -1);
        }
    }

    private void releaseUnit() {
        if (invariants.check(unitHeld, "unit-released-once", "team=" + team)) {
            unitHeld = false;
            limits.release(team);
        }
    }
}
