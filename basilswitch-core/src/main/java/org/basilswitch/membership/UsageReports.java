package org.basilswitch.membership;

import java.util.List;

import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.TeamUsage;

/** Usage of the pools, which rides on heartbeats. */
public interface UsageReports {

    /** Entries worth reporting to a peer with the next heartbeat. */
    List<TeamUsage> changesFor(MemberId peer);

    /** Takes in a peer's report. */
    void record(MemberId from, List<TeamUsage> usages);

    /** Forgets an entry host that has left the members record. */
    void forget(MemberId member);

    /** Reports nothing. */
    static UsageReports none() {
        return new UsageReports() {
            @Override
            public List<TeamUsage> changesFor(MemberId peer) {
                return List.of();
            }

            @Override
            public void record(MemberId from, List<TeamUsage> usages) {}

            @Override
            public void forget(MemberId member) {}
        };
    }
}
