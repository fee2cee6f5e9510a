package org.basilswitch.placement;

import java.util.Map;

/**
 * Slots of a pool's backend servers that this entry host may fill.
 *
 * @param slotsByServer slots by the server's name
 * @param spareCapacity whether the pool has room beyond the fleet's demand, so that other hosts' slots may be used
 * @param underservedTeamWaiting whether a team that waits here is as entitled as any in the fleet, so that other hosts' slots may be
 *     tried soon again after a busy refusal
 */
public record SlotCaps(Map<String, Integer> slotsByServer, boolean spareCapacity, boolean underservedTeamWaiting) {

    /** Copies the map. */
    public SlotCaps {
        slotsByServer = Map.copyOf(slotsByServer);
    }

    /** Leaves everything to busy refusals of the servers. */
    public static SlotCaps none() {
        return new SlotCaps(Map.of(), true, true);
    }

    /** The same slots, with another entitlement. */
    public SlotCaps withUnderservedTeamWaiting(boolean waiting) {
        return waiting == underservedTeamWaiting ? this : new SlotCaps(slotsByServer, spareCapacity, waiting);
    }

    /** Slots at a server. */
    public int at(String server) {
        return slotsByServer.getOrDefault(server, 0);
    }
}
