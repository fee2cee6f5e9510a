package org.basilswitch.entry;

import org.basilswitch.dispatch.BackgroundPreemptor;
import org.basilswitch.placement.LiveHosts;

/**
 * Optional services of a site besides store and peers.
 *
 * @param liveHosts the platform's list of hosts, which lags behind
 * @param backgroundPreemptor frees capacity for urgent requests
 */
public record EntryHostExtensions(LiveHosts liveHosts, BackgroundPreemptor backgroundPreemptor) {

    /** Returns the extensions of a site without a live-host list whose workers cannot free capacity. */
    public static EntryHostExtensions defaults() {
        return new EntryHostExtensions(LiveHosts.unknown(), BackgroundPreemptor.none());
    }
}
