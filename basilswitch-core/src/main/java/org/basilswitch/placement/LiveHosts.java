package org.basilswitch.placement;

/** What the platform's lagging list says of hosts; the configuration's own state of a host goes before it. */
public interface LiveHosts {

    /** What the list says of a host, by the host's name. */
    Presence presence(String host);

    /** Answers {@link Presence#UNKNOWN} for each host, for sites without a list. */
    static LiveHosts unknown() {
        return host -> Presence.UNKNOWN;
    }

    /** Kinds of presence. */
    enum Presence {
        /** Listed as live. */
        LIVE,
        /** Listed as about to leave: gets no new work. */
        LEAVING,
        /** No longer listed: gets new work only when every host of its pool is gone from the list. */
        GONE,
        /** The list can't be read, or has never shown the host. */
        UNKNOWN
    }
}
