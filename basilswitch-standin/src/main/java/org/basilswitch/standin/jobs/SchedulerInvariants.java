package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.BackendServer;
import org.basilswitch.schedule.ServerCommands;

/** Watches the runs on all servers and notes what a scheduler must never cause. */
public final class SchedulerInvariants {
    /** A copy may still be started for this long after the end of another one was acknowledged. */
    private static final Duration COPY_AFTER_DONE = Duration.ofSeconds(1);

    private final FleetModel fleet;
    private final Map<ItemId, Set<String>> atWork = new HashMap<>();
    private final Map<ItemId, Long> done = new HashMap<>();
    private final Map<ItemId, Long> noted = new HashMap<>();
    private final Set<ItemId> mayRunAgain = new HashSet<>();
    private final Map<ItemId, Integer> failures = new HashMap<>();
    private final Set<String> cancelled = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int starts;

    SchedulerInvariants(FleetModel fleet) {
        this.fleet = fleet;
    }

    void started(ItemId item, int run, BackendServer server) {
        starts++;
        StepSpec spec = fleet.step(item).orElseThrow();
        Set<String> places = atWork.computeIfAbsent(item, key -> new HashSet<>());
        if (!places.isEmpty() && !spec.speculative()) {
            violations.add("two runs at once: " + item + "#" + run + " on " + server.id() + " and " + places);
        }
        Long doneNanos = done.get(item);
        Long notedNanos = spec.speculative() ? noted.get(item) : doneNanos;
        long allowedNanos = spec.speculative() ? COPY_AFTER_DONE.toNanos() : 0;
        if (notedNanos != null && !mayRunAgain.contains(item) && fleet.nowNanos() - notedNanos >= allowedNanos) {
            violations.add("run after done: " + item + "#" + run);
        }
        if (cancelled.contains(item.job())) {
            violations.add("run after the job's cancellation: " + item + "#" + run);
        }
        for (int earlier : spec.after()) {
            int count = fleet.step(new ItemId(item.job(), item.occurrence(), earlier, 0))
                    .orElseThrow()
                    .count();
            for (int i = 0; i < count; i++) {
                if (!done.containsKey(new ItemId(item.job(), item.occurrence(), earlier, i))) {
                    violations.add("run before step " + earlier + " is done: " + item);
                }
            }
        }
        places.add(server.id());
    }

    void ended(ItemId item, int run, BackendServer server, ServerCommands.RunEndKind kind) {
        gone(item, run, server.id());
        if (kind == ServerCommands.RunEndKind.DONE) {
            done.put(item, fleet.nowNanos());
        } else if (kind == ServerCommands.RunEndKind.FAILED) {
            failures.merge(item, 1, Integer::sum);
        }
    }

    void gone(ItemId item, int run, String serverId) {
        Set<String> places = atWork.get(item);
        if (places != null) {
            places.remove(serverId);
        }
    }

    /** The end of a work item that is done was acknowledged to its server. */
    void acknowledged(ItemId item) {
        noted.putIfAbsent(item, fleet.nowNanos());
    }

    /** The lease of a server lapsed before the end of this work item was acknowledged to it. */
    void lapsedUnseen(ItemId item) {
        mayRunAgain.add(item);
    }

    void unasked(ItemId item) {
        violations.add("run of what nobody handed in: " + item);
    }

    /** From now on no work item of this job may start. */
    public void jobCancelled(String job) {
        cancelled.add(job);
    }

    /** Whether a work item is done. */
    public boolean isDone(ItemId item) {
        return done.containsKey(item);
    }

    /** Whether a work item is at work. */
    public boolean isAtWork(ItemId item) {
        return !atWork.getOrDefault(item, Set.of()).isEmpty();
    }

    /** Failed runs of a work item. */
    public int failures(ItemId item) {
        return failures.getOrDefault(item, 0);
    }

    /** Number of all starts. */
    public int starts() {
        return starts;
    }

    /** What was broken, in order. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
