package org.basilswitch.membership;

import java.util.List;

import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.TeamUsage;

/** Exchanges the teams' usage of the pools with the peers, in heartbeats. */
public interface UsageReports {

    /** Returns the entries to report to a peer with the next heartbeat. */
    List<TeamUsage> changesFor(MemberId peer);

    /** Records the usage that a peer has reported. */
    void record(MemberId from, List<TeamUsage> usages);

    /** Removes the usage of an entry host that has left the members record. */
    void removeMember(MemberId member);

    /** Returns an implementation that reports and records nothing. */
    static UsageReports none() {
        return new UsageReports() {
            @Override
            public List<TeamUsage> changesFor(MemberId peer) {
                return List.of();
            }

            @Override
            public void record(MemberId from, List<TeamUsage> usages) {}

            @Override
            public void removeMember(MemberId member) {}
        };
    }
}
