package org.basilswitch.overload;

import java.util.Map;
import java.util.Set;

/**
 * What the scheduler's leader tells the entry hosts about pools that are short of room; empty while there are none.
 *
 * @param fencingToken fencing token of the leader
 * @param pools outlook by name of the pool
 * @param queues what was learned about the queues of these pools, by name
 * @param teamsAboveRate teams that submit more than their share at present
 * @param returningJobs identifiers of jobs that are not turned away, as they have been once
 */
public record Outlook(
        long fencingToken,
        Map<String, PoolOutlook> pools,
        Map<String, QueueOutlook> queues,
        Set<String> teamsAboveRate,
        Set<String> returningJobs) {

    /** Makes defensive copies. Throws {@link IllegalArgumentException} when a field is missing. */
    public Outlook {
        if (pools == null || queues == null || teamsAboveRate == null || returningJobs == null) {
            throw new IllegalArgumentException("outlook without a required field");
        }
        pools = Map.copyOf(pools);
        queues = Map.copyOf(queues);
        teamsAboveRate = Set.copyOf(teamsAboveRate);
        returningJobs = Set.copyOf(returningJobs);
    }

    /** Returns the outlook of a leader whose pools all have room. */
    public static Outlook withRoom(long fencingToken) {
        return new Outlook(fencingToken, Map.of(), Map.of(), Set.of(), Set.of());
    }
}
