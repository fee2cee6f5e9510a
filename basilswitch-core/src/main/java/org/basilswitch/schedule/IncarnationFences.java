package org.basilswitch.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Fencing tokens of one leadership for the incarnations of backend servers.
 *
 * <p>An incarnation has the identifier and the address of the one before it and has seen no token, so that it carries out
 * calls which were meant for that one. Each incarnation therefore gets a higher token than those before it: once it has
 * seen its own, it rejects their calls, however late these arrive.
 */
final class IncarnationFences {
    /** Tokens of one leadership for one server; those of the next leadership are higher than all of them. */
    static final int TOKENS_PER_LEADERSHIP = 256;

    private final long firstToken;
    private final Map<String, Latest> latestByServerId = new HashMap<>();

    /** The incarnation that started last under an identifier, and the highest number that was given to any. */
    private record Latest(long startedAtMs, int number) {}

    private IncarnationFences(long firstToken) {
        this.firstToken = firstToken;
    }

    /** Creates the tokens of a leadership. */
    static IncarnationFences of(long leadershipToken) {
        return new IncarnationFences(Math.multiplyExact(leadershipToken, TOKENS_PER_LEADERSHIP));
    }

    /** Returns the token for an incarnation, which is lower than that of the latest one if it started before that. */
    long token(BackendServer.Incarnation incarnation) {
        Latest latest = latestByServerId.get(incarnation.serverId());
        if (latest == null) {
            // The first number is left for an earlier incarnation, of which a list that was read before may tell later.
            return setLatest(incarnation, 1);
        }
        if (incarnation.startedAtMs() > latest.startedAtMs()) {
            return setLatest(incarnation, latest.number() + 1);
        }
        boolean earlier = incarnation.startedAtMs() < latest.startedAtMs();
        return firstToken + latest.number() - (earlier ? 1 : 0);
    }

    /** Returns whether no higher token was given to another incarnation under the same identifier. */
    boolean isHighest(BackendServer.Incarnation incarnation, long token) {
        Latest latest = latestByServerId.get(incarnation.serverId());
        return latest == null || token >= firstToken + latest.number();
    }

    /** Returns a token for an incarnation that is higher than all before; the wall clock may go back between starts. */
    long raise(BackendServer.Incarnation incarnation) {
        Latest latest = latestByServerId.get(incarnation.serverId());
        return setLatest(incarnation, latest == null ? 1 : latest.number() + 1);
    }

    private long setLatest(BackendServer.Incarnation incarnation, int number) {
        int limited = Math.min(number, TOKENS_PER_LEADERSHIP - 1);
        latestByServerId.put(incarnation.serverId(), new Latest(incarnation.startedAtMs(), limited));
        return firstToken + limited;
    }
}
