package org.basilswitch.placement;

/** Reads the platform's list of hosts, which lags behind. A host's state in the configuration takes precedence. */
public interface LiveHosts {

    /** Returns the presence of a host, given its name. */
    Presence presence(String host);

    /** Returns a list that reports {@link Presence#UNKNOWN} for every host, for sites without a list. */
    static LiveHosts unknown() {
        return host -> Presence.UNKNOWN;
    }

    /** Presence of a host in the list. */
    enum Presence {
        /** Listed as live. */
        LIVE,
        /** Listed as about to leave; gets no new work. */
        LEAVING,
        /** No longer listed; gets new work only when no host of its pool is live or unknown. */
        GONE,
        /** The list cannot be read, or has never contained the host. */
        UNKNOWN
    }
}
