package org.basilswitch.bench.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Model checker for the promise protocol, by breadth-first search over its states. The steps are configuration
 * changes, reads, delayed and lost heartbeats, clock ticks, crashes, successors at the same address, and members added
 * and removed.
 *
 * <p>Invariant checked in each state: a host that holds promises of a majority of the members of its view acts on the
 * newest revision that was ever in force.
 */
public final class PromiseModel {
    private static final Step START = new Step(null, "");

    private final ModelBound bound;
    private final ProtocolMutation mutation;
    /** Every state found, with the step that first led to it. */
    private final Map<ModelState, Step> origins = new HashMap<>();

    private final Deque<ModelState> unexplored = new ArrayDeque<>();

    private PromiseModel(ModelBound bound, ProtocolMutation mutation) {
        this.bound = bound;
        this.mutation = mutation;
    }

    /**
     * Result of a check.
     *
     * @param states number of states found
     * @param complete whether all states within the bounds were explored
     * @param violation steps to a state that violates the invariant; empty when none was found
     */
    public record Result(int states, boolean complete, List<String> violation) {}

    private record Step(ModelState from, String action) {}

    /** Checks the protocol with a mutation, or unchanged with {@link ProtocolMutation#NONE}. */
    public static Result check(ModelBound bound, ProtocolMutation mutation) {
        return new PromiseModel(bound, mutation).search();
    }

    private Result search() {
        ModelState initial = ModelState.initial(bound.hosts());
        origins.put(initial, START);
        unexplored.add(initial);
        while (!unexplored.isEmpty() && origins.size() < bound.states()) {
            ModelState state = unexplored.poll();
            if (isViolation(state)) {
                return new Result(origins.size(), false, trace(state));
            }
            expand(state);
        }
        return new Result(origins.size(), unexplored.isEmpty(), List.of());
    }

    private List<String> trace(ModelState state) {
        List<String> steps = new ArrayList<>();
        ModelState current = state;
        for (Step step = origins.get(current); step != START; step = origins.get(current)) {
            steps.add(0, step.action());
            current = step.from();
        }
        return steps;
    }

    private void add(ModelState from, String action, Consumer<ModelState> change) {
        ModelState next = from.copy();
        change.accept(next);
        acknowledge(next);
        recordInForce(next);
        if (origins.putIfAbsent(next, new Step(from, action)) == null) {
            unexplored.add(next);
        }
    }

    private void expand(ModelState state) {
        add(state, "tick", this::tick);
        if (state.revision() < bound.revisions()) {
            add(state, "configuration changed", next -> write(next, members(next), memberIncarnations(next)));
        }
        for (int host = 0; host < bound.hosts(); host++) {
            expand(state, host);
        }
    }

    private void expand(ModelState state, int host) {
        if (!state.alive(host)) {
            if (state.incarnation(host) == 0 && state.revision() < bound.revisions() && isMember(state, host)) {
                add(state, "successor starts at " + host, next -> startSuccessor(next, host));
            }
            return;
        }
        if (state.viewRevision(host) < state.revision()) {
            add(state, host + " reads the configuration", next -> next.setViewRevision(host, next.revision()));
        }
        if (state.crashes() < bound.crashes()) {
            add(state, host + " crashes", next -> crash(next, host));
        }
        expandMembers(state, host);
        for (int peer = 0; peer < bound.hosts(); peer++) {
            if (peer != host) {
                expandPair(state, host, peer);
            }
        }
    }

    private void expandMembers(ModelState state, int host) {
        boolean settled =
                state.inForce() >= state.membersRevision() || mutation == ProtocolMutation.CONCURRENT_MEMBER_CHANGES;
        boolean current = state.viewRevision(host) == state.revision();
        if (!settled || !current || state.revision() >= bound.revisions()) {
            return;
        }
        if (!isMember(state, host)) {
            add(state, host + " joins", next -> changeMembers(next, members(next) | 1 << host, host));
            return;
        }
        for (int peer = 0; peer < bound.hosts(); peer++) {
            int other = peer;
            if (peer != host && isMember(state, peer)) {
                add(state, host + " removes " + peer, next -> changeMembers(next, members(next) & ~(1 << other), host));
            }
        }
    }

    private void expandPair(ModelState state, int host, int peer) {
        if (state.sentTicks(host, peer) == 0 && state.messages() < bound.messages()) {
            add(
                    state,
                    host + " sends a heartbeat to " + peer,
                    next -> next.setSent(host, peer, bound.promiseTicks(), next.viewRevision(host)));
        } else if (state.sentTicks(host, peer) > 0) {
            add(state, peer + " receives the heartbeat of " + host, next -> receiveHeartbeat(next, host, peer));
        }
    }

    private static int members(ModelState state) {
        return state.members(state.revision());
    }

    private static int memberIncarnations(ModelState state) {
        return state.memberIncarnations(state.revision());
    }

    private static boolean isMember(ModelState state, int host) {
        return (members(state) >> host & 1) != 0;
    }

    private static void write(ModelState state, int members, int runs) {
        state.setRevision(state.revision() + 1);
        state.setMembers(state.revision(), members);
        state.setMemberIncarnations(state.revision(), runs);
    }

    private static void changeMembers(ModelState state, int members, int writer) {
        write(state, members, memberIncarnations(state));
        state.setMembersRevision(state.revision());
        state.setViewRevision(writer, state.revision());
    }

    private void tick(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            state.setWaiting(host, Math.max(0, state.waitingTicks(host) - 1));
            for (int peer = 0; peer < bound.hosts(); peer++) {
                int held = Math.max(0, state.heldTicks(host, peer) - 1);
                state.setHeld(host, peer, held, state.heldFromIncarnation(host, peer));
                state.setGranted(host, peer, Math.max(0, state.grantedTicks(host, peer) - 1));
                if (state.grantedTicks(host, peer) == 0) {
                    // A received revision matters only while a promise is granted; resetting it keeps the number of
                    // states small.
                    state.setHeardRevision(host, peer, 0);
                }
                int sent = Math.max(0, state.sentTicks(host, peer) - 1);
                state.setSent(host, peer, sent, state.sentRevision(host, peer));
            }
        }
    }

    private void crash(ModelState state, int host) {
        state.countCrash();
        state.setAlive(host, false);
        for (int peer = 0; peer < bound.hosts(); peer++) {
            state.setHeld(host, peer, 0, 0);
            state.setGranted(host, peer, 0);
            state.setHeardRevision(host, peer, 0);
            state.setHeardRevision(peer, host, 0);
            state.setSent(host, peer, 0, 0);
            state.setSent(peer, host, 0, 0);
        }
    }

    private void startSuccessor(ModelState state, int host) {
        state.setAlive(host, true);
        state.setIncarnation(host, 1);
        write(state, members(state), memberIncarnations(state) | 1 << host);
        state.setViewRevision(host, state.revision());
        state.setWaiting(host, mutation == ProtocolMutation.SUCCESSOR_DOES_NOT_WAIT ? 0 : granterTicks());
    }

    private int granterTicks() {
        // A slow granter's clock may show one tick less than has passed at the holder.
        return mutation == ProtocolMutation.IGNORES_CLOCK_DRIFT ? bound.promiseTicks() - 1 : bound.promiseTicks();
    }

    private void receiveHeartbeat(ModelState state, int from, int to) {
        int ticks = state.sentTicks(from, to);
        int revision = state.sentRevision(from, to);
        state.setSent(from, to, 0, 0);
        if (!state.alive(to)) {
            return;
        }
        if (state.grantedTicks(to, from) > 0) {
            state.setHeardRevision(to, from, Math.max(state.heardRevision(to, from), revision));
        }
        int view = state.viewRevision(to);
        boolean bothMembers = (state.members(view) >> from & state.members(view) >> to & 1) != 0;
        boolean sameIncarnation = (state.memberIncarnations(view) >> from & 1) == state.incarnation(from);
        boolean fresh = revision >= view || mutation == ProtocolMutation.PROMISES_TO_OLDER_REVISION;
        if (bothMembers && sameIncarnation && fresh && state.waitingTicks(to) == 0) {
            state.setHeardRevision(to, from, Math.max(state.heardRevision(to, from), revision));
            state.setGranted(to, from, granterTicks());
            // Answers are modelled as arriving at once, because a later arrival could only shorten the promise.
            // The mutation adds one tick for the answer's transit.
            int counted = mutation == ProtocolMutation.MEASURES_FROM_ARRIVAL ? bound.promiseTicks() + 1 : ticks;
            state.setHeld(from, to, Math.max(counted, state.heldTicks(from, to)), state.incarnation(to));
        }
    }

    private void acknowledge(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            if (state.alive(host) && state.waitingTicks(host) == 0) {
                int revision = state.viewRevision(host);
                for (int peer = 0; peer < bound.hosts(); peer++) {
                    if (state.grantedTicks(host, peer) > 0 && mutation != ProtocolMutation.ACKNOWLEDGES_IMMEDIATELY) {
                        revision = Math.min(revision, state.heardRevision(host, peer));
                    }
                }
                int before = state.acknowledged(host, state.incarnation(host));
                state.setAcknowledged(host, state.incarnation(host), Math.max(before, revision));
            }
        }
    }

    private void recordInForce(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            for (int revision = state.inForce() + 1; revision <= state.viewRevision(host); revision++) {
                if (acknowledgedByMajority(state, state.viewRevision(host), revision)) {
                    state.setInForce(revision);
                }
            }
        }
    }

    private boolean acknowledgedByMajority(ModelState state, int view, int revision) {
        int members = state.members(view);
        int count = 0;
        for (int host = 0; host < bound.hosts(); host++) {
            int incarnation = state.memberIncarnations(view) >> host & 1;
            if ((members >> host & 1) != 0 && state.acknowledged(host, incarnation) >= revision) {
                count++;
            }
        }
        int half = Integer.bitCount(members) / 2;
        return count >= (mutation == ProtocolMutation.HALF_COUNTS_AS_MAJORITY ? Math.max(1, half) : half + 1);
    }

    private boolean isViolation(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            if (state.alive(host) && state.viewRevision(host) < state.inForce() && mayStartWork(state, host)) {
                return true;
            }
        }
        return false;
    }

    private boolean mayStartWork(ModelState state, int host) {
        int view = state.viewRevision(host);
        int members = state.members(view);
        boolean member =
                (members >> host & 1) != 0 && (state.memberIncarnations(view) >> host & 1) == state.incarnation(host);
        int count = member ? 1 : 0;
        for (int peer = 0; peer < bound.hosts(); peer++) {
            boolean counts = peer != host && (members >> peer & 1) != 0 && state.heldTicks(host, peer) > 0;
            if (counts && state.heldFromIncarnation(host, peer) == (state.memberIncarnations(view) >> peer & 1)) {
                count++;
            }
        }
        return member && count > Integer.bitCount(members) / 2;
    }
}
