package org.basilswitch.placement;

import java.util.Map;

/**
 * Slots of a pool's backend servers that are assigned to this entry host.
 *
 * @param slotsByServer number of slots by server name
 * @param spareCapacity whether the pool's capacity exceeds the fleet's demand, so that slots of other entry hosts may
 *     be used
 * @param underservedTeamWaiting whether a team waiting at this host is as underserved as any waiting team in the fleet,
 *     so that slots of other entry hosts are retried sooner after a busy refusal
 */
public record SlotCaps(Map<String, Integer> slotsByServer, boolean spareCapacity, boolean underservedTeamWaiting) {

    /** Copies the map. */
    public SlotCaps {
        slotsByServer = Map.copyOf(slotsByServer);
    }

    /** Returns caps without assigned slots, which leaves the limit to the servers' busy refusals. */
    public static SlotCaps none() {
        return new SlotCaps(Map.of(), true, true);
    }

    /** Returns the same caps with the given {@code underservedTeamWaiting}. */
    public SlotCaps withUnderservedTeamWaiting(boolean waiting) {
        return waiting == underservedTeamWaiting ? this : new SlotCaps(slotsByServer, spareCapacity, waiting);
    }

    /** Returns the number of assigned slots at a server. */
    public int at(String server) {
        return slotsByServer.getOrDefault(server, 0);
    }
}
