package org.basilswitch.bench.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Breadth-first search over the states of the promise protocol: changes, reads, heartbeats that arrive late or never,
 * ticks of the clocks, crashes, successors under the same address, members removed and added.
 *
 * <p>Checked in each state: a host that holds promises of a majority of the members of its view acts on the newest
 * revision that was ever in force.
 */
public final class PromiseModel {
    private static final Step START = new Step(null, "");

    private final ModelBound bound;
    private final ProtocolMutation broken;
    /** The states seen, each with the step that first led to it. */
    private final Map<ModelState, Step> origins = new HashMap<>();

    private final Deque<ModelState> open = new ArrayDeque<>();

    private PromiseModel(ModelBound bound, ProtocolMutation broken) {
        this.bound = bound;
        this.broken = broken;
    }

    /**
     * The result of a check.
     *
     * @param states states visited
     * @param complete whether all states within the bound were visited
     * @param violation steps to a state that breaks the promise; empty when there is none
     */
    public record Result(int states, boolean complete, List<String> violation) {}

    private record Step(ModelState from, String action) {}

    /** Checks the protocol, or a deliberate break of it. */
    public static Result check(ModelBound bound, ProtocolMutation broken) {
        return new PromiseModel(bound, broken).search();
    }

    private Result search() {
        ModelState initial = ModelState.initial(bound.hosts());
        origins.put(initial, START);
        open.add(initial);
        while (!open.isEmpty() && origins.size() < bound.states()) {
            ModelState state = open.poll();
            if (violates(state)) {
                return new Result(origins.size(), false, trace(state));
            }
            expand(state);
        }
        return new Result(origins.size(), open.isEmpty(), List.of());
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
        noteInForce(next);
        if (origins.putIfAbsent(next, new Step(from, action)) == null) {
            open.add(next);
        }
    }

    private void expand(ModelState state) {
        add(state, "tick", this::tick);
        if (state.revision() < bound.revisions()) {
            add(state, "configuration changed", next -> write(next, members(next), runs(next)));
        }
        for (int host = 0; host < bound.hosts(); host++) {
            expand(state, host);
        }
    }

    private void expand(ModelState state, int host) {
        if (!state.alive(host)) {
            if (state.run(host) == 0 && state.revision() < bound.revisions() && isMember(state, host)) {
                add(state, "successor at " + host, next -> succeed(next, host));
            }
            return;
        }
        if (state.view(host) < state.revision()) {
            add(state, host + " reads", next -> next.setView(host, next.revision()));
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
        boolean settled = state.inForce() >= state.membersRevision() || broken == ProtocolMutation.TWO_CHANGES_AT_ONCE;
        boolean current = state.view(host) == state.revision();
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
        if (state.sent(host, peer) == 0 && state.messages() < bound.messages()) {
            add(
                    state,
                    host + " sends to " + peer,
                    next -> next.setSent(host, peer, bound.promiseTicks(), next.view(host)));
        } else if (state.sent(host, peer) > 0) {
            add(state, peer + " hears " + host, next -> hear(next, host, peer));
        }
    }

    private static int members(ModelState state) {
        return state.members(state.revision());
    }

    private static int runs(ModelState state) {
        return state.runs(state.revision());
    }

    private static boolean isMember(ModelState state, int host) {
        return (members(state) >> host & 1) != 0;
    }

    private static void write(ModelState state, int members, int runs) {
        state.setRevision(state.revision() + 1);
        state.setMembers(state.revision(), members);
        state.setRuns(state.revision(), runs);
    }

    private static void changeMembers(ModelState state, int members, int writer) {
        write(state, members, runs(state));
        state.setMembersRevision(state.revision());
        state.setView(writer, state.revision());
    }

    private void tick(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            state.setWaiting(host, Math.max(0, state.waiting(host) - 1));
            for (int peer = 0; peer < bound.hosts(); peer++) {
                int held = Math.max(0, state.held(host, peer) - 1);
                state.setHeld(host, peer, held, state.heldFromRun(host, peer));
                state.setGranted(host, peer, Math.max(0, state.granted(host, peer) - 1));
                if (state.granted(host, peer) == 0) {
                    // What was heard matters only while a promise is given.
                    state.setHeard(host, peer, 0);
                }
                int sent = Math.max(0, state.sent(host, peer) - 1);
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
            state.setHeard(host, peer, 0);
            state.setHeard(peer, host, 0);
            state.setSent(host, peer, 0, 0);
            state.setSent(peer, host, 0, 0);
        }
    }

    private void succeed(ModelState state, int host) {
        state.setAlive(host, true);
        state.setRun(host, 1);
        write(state, members(state), runs(state) | 1 << host);
        state.setView(host, state.revision());
        state.setWaiting(host, broken == ProtocolMutation.SUCCESSOR_DOES_NOT_WAIT ? 0 : granterTicks());
    }

    private int granterTicks() {
        // A slow giver's clock may show one tick less than has passed at the holder.
        return broken == ProtocolMutation.IGNORES_DRIFT ? bound.promiseTicks() - 1 : bound.promiseTicks();
    }

    private void hear(ModelState state, int from, int to) {
        int ticks = state.sent(from, to);
        int revision = state.sentRevision(from, to);
        state.setSent(from, to, 0, 0);
        if (!state.alive(to)) {
            return;
        }
        if (state.granted(to, from) > 0) {
            state.setHeard(to, from, Math.max(state.heard(to, from), revision));
        }
        int view = state.view(to);
        boolean bothMembers = (state.members(view) >> from & state.members(view) >> to & 1) != 0;
        boolean sameRun = (state.runs(view) >> from & 1) == state.run(from);
        boolean fresh = revision >= view || broken == ProtocolMutation.PROMISES_ALWAYS;
        if (bothMembers && sameRun && fresh && state.waiting(to) == 0) {
            state.setHeard(to, from, Math.max(state.heard(to, from), revision));
            state.setGranted(to, from, granterTicks());
            // Answers arrive at once, which a later arrival could only shorten; the break adds the tick of its way.
            int counted = broken == ProtocolMutation.COUNTS_FROM_ARRIVAL ? bound.promiseTicks() + 1 : ticks;
            state.setHeld(from, to, Math.max(counted, state.held(from, to)), state.run(to));
        }
    }

    private void acknowledge(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            if (state.alive(host) && state.waiting(host) == 0) {
                int revision = state.view(host);
                for (int peer = 0; peer < bound.hosts(); peer++) {
                    if (state.granted(host, peer) > 0 && broken != ProtocolMutation.ACKNOWLEDGES_AT_ONCE) {
                        revision = Math.min(revision, state.heard(host, peer));
                    }
                }
                int before = state.acknowledged(host, state.run(host));
                state.setAcknowledged(host, state.run(host), Math.max(before, revision));
            }
        }
    }

    private void noteInForce(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            for (int revision = state.inForce() + 1; revision <= state.view(host); revision++) {
                if (acknowledgedByMajority(state, state.view(host), revision)) {
                    state.setInForce(revision);
                }
            }
        }
    }

    private boolean acknowledgedByMajority(ModelState state, int view, int revision) {
        int members = state.members(view);
        int count = 0;
        for (int host = 0; host < bound.hosts(); host++) {
            int run = state.runs(view) >> host & 1;
            if ((members >> host & 1) != 0 && state.acknowledged(host, run) >= revision) {
                count++;
            }
        }
        int half = Integer.bitCount(members) / 2;
        return count >= (broken == ProtocolMutation.HALF_IS_ENOUGH ? Math.max(1, half) : half + 1);
    }

    private boolean violates(ModelState state) {
        for (int host = 0; host < bound.hosts(); host++) {
            if (state.alive(host) && state.view(host) < state.inForce() && mayStart(state, host)) {
                return true;
            }
        }
        return false;
    }

    private boolean mayStart(ModelState state, int host) {
        int view = state.view(host);
        int members = state.members(view);
        boolean member = (members >> host & 1) != 0 && (state.runs(view) >> host & 1) == state.run(host);
        int count = member ? 1 : 0;
        for (int peer = 0; peer < bound.hosts(); peer++) {
            boolean counts = peer != host && (members >> peer & 1) != 0 && state.held(host, peer) > 0;
            if (counts && state.heldFromRun(host, peer) == (state.runs(view) >> peer & 1)) {
                count++;
            }
        }
        return member && count > Integer.bitCount(members) / 2;
    }
}
