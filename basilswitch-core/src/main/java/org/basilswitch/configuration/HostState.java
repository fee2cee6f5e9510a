package org.basilswitch.configuration;

/** State of a host; {@code fleet.HostTransitions} defines the allowed transitions. */
public enum HostState {
    ACTIVE,
    DRAINING,
    DOWN,
    REBOOTING,
    RETURNING,
    FAULTY
}
