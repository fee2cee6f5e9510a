package org.basilswitch.evacuation;

import java.time.Duration;
import java.util.Set;

/**
 * Options of a deployment whose availability zones can be evacuated.
 *
 * @param store reader of the operator's requests
 * @param limit time after its acknowledgement from which a request has to be obeyed
 * @param zones availability zones of the deployment; empty when they are not known
 */
public record EvacuationOptions(EvacuationStore store, Duration limit, Set<String> zones) {
    /** Makes an immutable copy of the zones. */
    public EvacuationOptions {
        zones = Set.copyOf(zones);
    }
}
