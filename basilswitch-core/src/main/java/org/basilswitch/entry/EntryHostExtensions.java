package org.basilswitch.entry;

import org.basilswitch.dispatch.BackgroundPreemptor;
import org.basilswitch.placement.LiveHosts;

/**
 * What a site may bring besides store and peers.
 *
 * @param liveHosts the platform's lagging list of hosts
 * @param backgroundWork makes room for urgent requests
 */
public record EntryHostExtensions(LiveHosts liveHosts, BackgroundPreemptor backgroundPreemptor) {

    /** A site without a live-host list whose workers offer no way to make room. */
    public static EntryHostExtensions defaults() {
        return new EntryHostExtensions(LiveHosts.unknown(), BackgroundPreemptor.none());
    }
}
