package org.basilswitch.configuration;

/** State of a host; the fleet slice holds the table of allowed steps. */
public enum HostState {
    ACTIVE,
    DRAINING,
    DOWN,
    REBOOTING,
    RETURNING,
    FAULTY
}
