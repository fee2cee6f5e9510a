package org.basilswitch.claim;

import java.util.List;
import java.util.Optional;

import net.openhft.hashing.LongHashFunction;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;

/** Assigns each bucket to the member with the highest hash: rendezvous hashing (Thaler and Ravishankar, 1998). */
final class BucketAssignment {
    /** Number of claim buckets of a site. */
    static final int BUCKET_COUNT = 16;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private BucketAssignment() {}

    static Optional<MemberId> holder(int bucket, List<Member> members) {
        MemberId best = null;
        long bestWeight = 0;
        for (Member member : members) {
            long weight = HASH.hashChars(bucket + "/" + member.id().value());
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = member.id();
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }
}
