package org.basilswitch.fleet;

/**
 * The purpose and progress of a planned removal from service; stored until the host is active again.
 *
 * @param purpose reason for the drain
 * @param target name of the wave or of the pool that the host moves to; empty for a transition by the operator
 * @param bootId identifier of the boot that the reboot ends; empty until the host is drained
 * @param startedAtMs start of the current transition, Unix milliseconds
 */
public record HostProgress(Purpose purpose, String target, String bootId, long startedAtMs) {

    /** The reason for draining a host. */
    public enum Purpose {
        WAVE,
        MOVE,
        OPERATOR
    }

    /** Returns the progress of a transition by the operator, for which no record is stored. */
    public static HostProgress operator() {
        return new HostProgress(Purpose.OPERATOR, "", "", 0);
    }

    /** Creates the progress of a drain for a wave or a move. */
    public static HostProgress draining(Purpose purpose, String target, long startedAtMs) {
        return new HostProgress(purpose, target, "", startedAtMs);
    }

    /** Returns the progress of a drained host whose reboot starts. */
    public HostProgress rebooting(String endedBootId, long atMs) {
        return new HostProgress(purpose, target, endedBootId, atMs);
    }
}
