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
    private static final Duration SPECULATIVE_START_GRACE = Duration.ofSeconds(1);

    private final FleetModel fleet;
    private final Map<ItemId, Set<String>> runningServers = new HashMap<>();
    private final Map<ItemId, Long> doneAtNanos = new HashMap<>();
    private final Map<ItemId, Long> acknowledgedAtNanos = new HashMap<>();
    private final Set<ItemId> rerunAllowed = new HashSet<>();
    private final Map<ItemId, Integer> failures = new HashMap<>();
    private final Set<String> cancelled = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int starts;

    SchedulerInvariants(FleetModel fleet) {
        this.fleet = fleet;
    }

    void runStarted(ItemId item, int run, BackendServer server) {
        starts++;
        StepSpec spec = fleet.step(item).orElseThrow();
        Set<String> serverIds = runningServers.computeIfAbsent(item, key -> new HashSet<>());
        if (!serverIds.isEmpty() && !spec.speculative()) {
            violations.add("two runs at once: " + item + "#" + run + " on " + server.id() + " and " + serverIds);
        }
        Long doneNanos = doneAtNanos.get(item);
        Long endKnownNanos = spec.speculative() ? acknowledgedAtNanos.get(item) : doneNanos;
        long allowedNanos = spec.speculative() ? SPECULATIVE_START_GRACE.toNanos() : 0;
        if (endKnownNanos != null && !rerunAllowed.contains(item) && fleet.nowNanos() - endKnownNanos >= allowedNanos) {
            violations.add("run after done: " + item + "#" + run);
        }
        if (cancelled.contains(item.job())) {
            violations.add("run after the job's cancellation: " + item + "#" + run);
        }
        for (int requiredStep : spec.after()) {
            int count = fleet.step(new ItemId(item.job(), item.occurrence(), requiredStep, 0))
                    .orElseThrow()
                    .count();
            for (int i = 0; i < count; i++) {
                if (!doneAtNanos.containsKey(new ItemId(item.job(), item.occurrence(), requiredStep, i))) {
                    violations.add("run before step " + requiredStep + " is done: " + item);
                }
            }
        }
        serverIds.add(server.id());
    }

    void runEnded(ItemId item, int run, BackendServer server, ServerCommands.RunEndKind kind) {
        removeRun(item, run, server.id());
        if (kind == ServerCommands.RunEndKind.DONE) {
            doneAtNanos.put(item, fleet.nowNanos());
        } else if (kind == ServerCommands.RunEndKind.FAILED) {
            failures.merge(item, 1, Integer::sum);
        }
    }

    void removeRun(ItemId item, int run, String serverId) {
        Set<String> serverIds = runningServers.get(item);
        if (serverIds != null) {
            serverIds.remove(serverId);
        }
    }

    /** The end of a work item that is done was acknowledged to its server. */
    void endAcknowledged(ItemId item) {
        acknowledgedAtNanos.putIfAbsent(item, fleet.nowNanos());
    }

    /** The lease of a server lapsed before the end of this work item was acknowledged to it. */
    void leaseLapsedBeforeAcknowledgement(ItemId item) {
        rerunAllowed.add(item);
    }

    void unknownItemStarted(ItemId item) {
        violations.add("run of what nobody handed in: " + item);
    }

    /** From now on no work item of this job may start. */
    public void jobCancelled(String job) {
        cancelled.add(job);
    }

    /** Whether a work item is done. */
    public boolean isDone(ItemId item) {
        return doneAtNanos.containsKey(item);
    }

    /** Whether a work item is at work. */
    public boolean isAtWork(ItemId item) {
        return !runningServers.getOrDefault(item, Set.of()).isEmpty();
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
