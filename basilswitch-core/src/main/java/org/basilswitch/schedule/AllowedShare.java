package org.basilswitch.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Estimates how probably the advice service allows a server for a step, from its answers about steps of the same queue. */
final class AllowedShare {
    /** Number of answers by which the share of a queue counts in the estimate for one of its steps. */
    private static final double QUEUE_WEIGHT = 4;
    /** Number of answers by which the share of a step counts in the estimate for one server. */
    private static final double STEP_WEIGHT = 4;
    /** Number of answers after which the earlier ones count half. */
    private static final double QUEUE_MEMORY = 1000;

    private static final double SERVER_MEMORY = 50;
    /** Number of servers above which what was learned of single servers is dropped; servers that left are among them. */
    private static final int MAX_SERVERS = 50_000;

    private final Tally queue = new Tally();
    private final Map<String, Tally> byServer = new HashMap<>();

    /** Answers, and how many of them allowed a server. */
    private static final class Tally {
        private double asked;
        private double allowed;

        private void add(boolean isAllowed, double memory) {
            if (asked >= memory) {
                asked /= 2;
                allowed /= 2;
            }
            asked++;
            allowed += isAllowed ? 1 : 0;
        }

        private double share(double expected, double weight) {
            return (expected * weight + allowed) / (weight + asked);
        }
    }

    /** Records an answer. */
    void onAnswer(Collection<String> servers, Set<String> allowedServers) {
        if (byServer.size() > MAX_SERVERS) {
            byServer.clear();
        }
        for (String server : servers) {
            boolean allowed = allowedServers.contains(server);
            queue.add(allowed, QUEUE_MEMORY);
            byServer.computeIfAbsent(server, id -> new Tally()).add(allowed, SERVER_MEMORY);
        }
    }

    /** Records that a server has rejected a ticket, so that it is of no more use than one that is not allowed. */
    void onRejected(String server) {
        byServer.computeIfAbsent(server, id -> new Tally()).add(false, SERVER_MEMORY);
    }

    /** Returns the share of servers that a step is expected to be allowed on, given the answers about this step. */
    double ofStep(int asked, int allowed) {
        double expected = queue.share(0.5, QUEUE_WEIGHT);
        return (expected * QUEUE_WEIGHT + allowed) / (QUEUE_WEIGHT + asked);
    }

    /** Returns the probability that a server is allowed for a step that is allowed on this share of the servers. */
    double ofServer(String server, double stepShare) {
        Tally tally = byServer.get(server);
        return tally == null ? stepShare : tally.share(stepShare, STEP_WEIGHT);
    }
}
