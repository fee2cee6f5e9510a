package org.basilswitch.entry;

import java.time.Duration;

import org.basilswitch.membership.Member;

/**
 * Start options of an entry host.
 *
 * @param site site name, the prefix of its keys in the store
 * @param self this host's entry in the members record
 * @param promiseTime how long a peer's promise lasts
 * @param heartbeatInterval time between heartbeats to each peer
 * @param clockDriftRatio largest relative drift between two hosts' monotonic clocks, such as 0.01
 */
public record EntryHostOptions(
        String site, Member self, Duration promiseTime, Duration heartbeatInterval, double clockDriftRatio) {}
