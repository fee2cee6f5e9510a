package org.basilswitch.fleet;

/**
 * Why a host is out of service by choice and how far it is, kept in the store until it is active again.
 *
 * @param purpose why it was drained
 * @param target the wave's name, or the pool that the host moves to; empty for an operator's own step
 * @param bootId the boot that a reboot is to end; empty until the host is drained
 * @param startedAtMs wall-clock time of the current step, in milliseconds since 1970
 */
public record HostProgress(Purpose purpose, String target, String bootId, long startedAtMs) {

    /** Why a host was drained. */
    public enum Purpose {
        WAVE,
        MOVE,
        OPERATOR
    }

    /** An operator's own step, which leaves no record. */
    public static HostProgress operator() {
        return new HostProgress(Purpose.OPERATOR, "", "", 0);
    }

    /** Starts draining for a wave or a move. */
    public static HostProgress draining(Purpose purpose, String target, long startedAtMs) {
        return new HostProgress(purpose, target, "", startedAtMs);
    }

    /** The host is drained and its boot is to end. */
    public HostProgress rebooting(String endedBootId, long atMs) {
        return new HostProgress(purpose, target, endedBootId, atMs);
    }
}
