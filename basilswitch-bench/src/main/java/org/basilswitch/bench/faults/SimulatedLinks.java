package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage;

/** Simulated links between entry hosts: delay, loss, duplication, reordering and cuts in either direction. */
final class SimulatedLinks {
    private static final int SLOW_DELAY_MS = 1_500;

    private final FaultSite site;
    private final UniformRandomProvider random;
    private final Map<MemberId, Integer> slots = new HashMap<>();
    private final int[][] cuts;
    private int lossy;
    private int slow;
    private long messages;

    SimulatedLinks(FaultSite site, UniformRandomProvider random, int hosts) {
        this.site = site;
        this.random = random;
        this.cuts = new int[hosts][hosts];
    }

    void register(EntryProcess process) {
        slots.put(process.id(), process.slot());
    }

    void cut(int from, int to, int change) {
        cuts[from][to] += change;
    }

    void lossy(int change) {
        lossy += change;
    }

    void slow(int change) {
        slow += change;
    }

    long messages() {
        return messages;
    }

    void send(EntryProcess from, MemberId to, PeerMessage message) {
        Integer slot = slots.get(to);
        messages++;
        if (slot == null || from.time().killed() || lost()) {
            return;
        }
        deliver(from, to, slot, message);
        if (random.nextInt(100) == 0) {
            deliver(from, to, slot, message);
        }
    }

    private boolean lost() {
        return lossy > 0 && random.nextInt(4) == 0;
    }

    private Duration delay() {
        return slow > 0 ? Duration.ofMillis(random.nextInt(SLOW_DELAY_MS)) : site.delay();
    }

    /** Delivers to the current process at the slot's address; a message for an earlier incarnation is dropped. */
    private void deliver(EntryProcess from, MemberId to, int slot, PeerMessage message) {
        site.time().schedule(delay(), () -> {
            if (cuts[from.slot()][slot] == 0) {
                site.process(slot)
                        .filter(process -> process.id().equals(to))
                        .ifPresent(process -> process.receive(from.id(), message));
            }
        });
    }
}
