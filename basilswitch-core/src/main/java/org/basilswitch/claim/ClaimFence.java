package org.basilswitch.claim;

import org.basilswitch.peer.MemberId;

/**
 * A bucket's fencing record; each commit compares its revision, so that an earlier holder's commits fail.
 *
 * @param holder the holder
 * @param number number of the holding, from 1
 */
record ClaimFence(MemberId holder, long number) {}
