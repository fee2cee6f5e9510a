package org.basilswitch.placement;

import java.util.Map;

/**
 * Slots of a pool's backend servers that this entry host may fill.
 *
 * @param slotsByServer slots by the server's name
 * @param roomBeyond whether the pool has room beyond the fleet's demand, so that other hosts' slots may be tried
 */
public record SlotCaps(Map<String, Integer> slotsByServer, boolean roomBeyond) {

    /** Copies the map. */
    public SlotCaps {
        slotsByServer = Map.copyOf(slotsByServer);
    }

    /** Leaves everything to busy refusals of the servers. */
    public static SlotCaps none() {
        return new SlotCaps(Map.of(), true);
    }

    /** Slots at a server. */
    public int at(String server) {
        return slotsByServer.getOrDefault(server, 0);
    }
}
