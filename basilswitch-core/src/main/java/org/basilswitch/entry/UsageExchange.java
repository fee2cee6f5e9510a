package org.basilswitch.entry;

import java.util.List;

import org.basilswitch.admission.FleetUsage;
import org.basilswitch.membership.UsageReports;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.TeamUsage;

/** Lets the fleet's usage ride on heartbeats. */
final class UsageExchange implements UsageReports {
    private final FleetUsage usage;

    UsageExchange(FleetUsage usage) {
        this.usage = usage;
    }

    @Override
    public List<TeamUsage> changesFor(MemberId peer) {
        usage.expire();
        return usage.changesFor(peer);
    }

    @Override
    public void record(MemberId from, List<TeamUsage> usages) {
        usage.record(from, usages);
    }

    @Override
    public void forget(MemberId member) {
        usage.forget(member);
    }
}
