package org.basilswitch.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;

/**
 * Orders the members for a duty by rendezvous hashing (Thaler and Ravishankar, 1998), so that duties spread evenly and
 * few of them move when a member comes or goes.
 */
final class CandidateRank {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private CandidateRank() {}

    /** Number of members that come before this one; the size of the list when it is not a member. */
    static int of(String leadership, List<Member> members, MemberId self) {
        if (members.stream().noneMatch(member -> member.id().equals(self))) {
            return members.size();
        }
        long own = weight(leadership, self);
        return (int) members.stream()
                .filter(member -> weight(leadership, member.id()) > own)
                .count();
    }

    private static long weight(String leadership, MemberId member) {
        return HASH.hashBytes((leadership + "\0" + member.value()).getBytes(StandardCharsets.UTF_8));
    }
}
