package org.basilswitch.entry;

import org.basilswitch.dispatch.BackgroundWork;
import org.basilswitch.placement.LiveHosts;

/**
 * What a site may bring besides store and peers.
 *
 * @param liveHosts the platform's lagging list of hosts
 * @param backgroundWork makes room for urgent requests
 */
public record EntryHostParts(LiveHosts liveHosts, BackgroundWork backgroundWork) {

    /** A site without a live-host list whose workers offer no way to make room. */
    public static EntryHostParts standard() {
        return new EntryHostParts(LiveHosts.unknown(), BackgroundWork.none());
    }
}
