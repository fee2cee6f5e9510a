package org.basilswitch.claim;

import org.basilswitch.peer.MemberId;

/**
 * A bucket's fencing record. Each commit compares the record's revision, so that an earlier holder's commits fail.
 *
 * @param holder the member that holds the bucket
 * @param number fencing token, increased by 1 at each acquisition, starting at 1
 */
record ClaimFence(MemberId holder, long number) {}
