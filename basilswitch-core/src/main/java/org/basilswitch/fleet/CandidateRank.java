package org.basilswitch.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;

/**
 * Ranks the members as candidates for a leadership by rendezvous hashing (Thaler and Ravishankar, 1998), so that
 * leaderships spread evenly over the members and few of them move when a member joins or leaves.
 */
final class CandidateRank {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private CandidateRank() {}

    /** Returns the number of members that rank before this one; the number of members when it is not one of them. */
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
