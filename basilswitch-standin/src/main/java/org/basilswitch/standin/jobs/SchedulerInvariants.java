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

/** Tracks the runs on all servers and records violations of the scheduler's invariants. */
public final class SchedulerInvariants {
    /** Time after the acknowledged end of a speculative work item during which another copy of it may still start. */
    private static final Duration SPECULATIVE_START_GRACE = Duration.ofSeconds(1);

    /** Time after which a work item that is not at work for any cause counts as away. */
    private static final Duration NOTICE = Duration.ofMillis(4500);

    /** Time after which the evacuation of a zone has to be obeyed. */
    public static final Duration EVACUATION_LIMIT = Duration.ofMillis(5000);

    /** Lead of a server's clock that its scheduler may assume. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(200);

    private final FleetModel fleet;
    private final Map<String, Long> evacuatedSinceNanos = new HashMap<>();
    private final Map<ItemId, Set<String>> runningServers = new HashMap<>();
    private final Map<ItemId, Long> doneAtNanos = new HashMap<>();
    private final Map<ItemId, Long> acknowledgedAtNanos = new HashMap<>();
    private final Set<ItemId> rerunAllowed = new HashSet<>();
    /** Work items whose latest completion a crash has removed before it was acknowledged. */
    private final Set<ItemId> endForgotten = new HashSet<>();

    private final Map<ItemId, Integer> failures = new HashMap<>();
    private final Map<ItemId, Away> away = new HashMap<>();
    /** Checkpoints that the members of a gang's run were started with, by step and run number. */
    private final Map<String, String> gangCheckpoints = new HashMap<>();

    private final Set<String> cancelled = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int startCount;

    /** A long-running work item that is not at work. */
    private record Away(long sinceNanos, boolean byCommand) {}

    SchedulerInvariants(FleetModel fleet) {
        this.fleet = fleet;
    }

    /** Records that a zone takes no new work, or takes it again. */
    public void zoneEvacuated(String zone, boolean evacuated) {
        if (evacuated) {
            evacuatedSinceNanos.putIfAbsent(zone, fleet.nowNanos());
        } else {
            evacuatedSinceNanos.remove(zone);
        }
    }

    /** Records that a start command is sent to a server; one that the server carries out late counts as of now. */
    public void startSent(BackendServer server) {
        startSent(server, Duration.ZERO);
    }

    private void startSent(BackendServer server, Duration ago) {
        long sentNanos = fleet.nowNanos() - ago.toNanos();
        Long sinceNanos = evacuatedSinceNanos.get(server.zone());
        if (sinceNanos != null && sentNanos - sinceNanos > EVACUATION_LIMIT.toNanos()) {
            violations.add("start on " + server.id() + " in " + server.zone() + " evacuated "
                    + (sentNanos - sinceNanos) / 1_000_000 + " ms before");
        }
    }

    /**
     * Records that a start command reaches a server, maybe long after it was sent. Its lease end tells when it was sent,
     * unless it is on the clock of an earlier incarnation.
     */
    public void startReceived(BackendServer server, long leaseEndMs, Duration lease) {
        long agoMs = fleet.server(server.id()).clockMs() + lease.toMillis() - leaseEndMs;
        if (agoMs > -CLOCK_TOLERANCE.toMillis()) {
            startSent(server, Duration.ofMillis(Math.max(0, agoMs)));
        }
    }

    void runStarted(ItemId item, int run, String checkpoint, BackendServer server) {
        startCount++;
        StepSpec spec = fleet.step(item).orElseThrow();
        Set<String> serverIds = runningServers.computeIfAbsent(item, key -> new HashSet<>());
        if (!serverIds.isEmpty() && !spec.speculative()) {
            violations.add("two runs at once: " + item + "#" + run + " on " + server.id() + " and " + serverIds);
        }
        Long doneNanos = doneAtNanos.get(item);
        Long endKnownNanos = spec.speculative() ? acknowledgedAtNanos.get(item) : doneNanos;
        long allowedNanos = spec.speculative() ? SPECULATIVE_START_GRACE.toNanos() : 0;
        boolean mayRunAgain = rerunAllowed.contains(item) || endForgotten.contains(item);
        if (endKnownNanos != null && !mayRunAgain && fleet.nowNanos() - endKnownNanos >= allowedNanos) {
            violations.add("run after the work item was done: " + item + "#" + run);
        }
        if (spec.gang()) {
            String first = gangCheckpoints.computeIfAbsent(item.stepName() + "#" + run, key -> checkpoint);
            if (!first.equals(checkpoint)) {
                violations.add("gang members with different checkpoints: " + item + "#" + run);
            }
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
        boolean longRunning = fleet.step(item).map(StepSpec::longRunning).orElse(false);
        if (kind == ServerCommands.RunEndKind.DONE && !longRunning) {
            doneAtNanos.put(item, fleet.nowNanos());
            endForgotten.remove(item);
        } else if (kind == ServerCommands.RunEndKind.FAILED) {
            failures.merge(item, 1, Integer::sum);
        }
    }

    void removeRun(ItemId item, int run, String serverId) {
        Set<String> serverIds = runningServers.get(item);
        if (serverIds != null) {
            serverIds.remove(serverId);
            if (serverIds.isEmpty()) {
                away.putIfAbsent(item, new Away(fleet.nowNanos(), false));
            }
        }
    }

    /** Records that a long-running work item has started up. */
    void atWork(ItemId item) {
        away.remove(item);
    }

    /** Records that a command, not a fault, is about to end a run; too many of its step must not be away then. */
    void commandEnds(ItemId item, String serverId) {
        StepSpec spec = fleet.step(item).orElseThrow();
        Set<String> serverIds = runningServers.getOrDefault(item, Set.of());
        boolean atWork = serverIds.equals(Set.of(serverId)) && !away.containsKey(item);
        if (!spec.longRunning() || cancelled.contains(item.job()) || !atWork) {
            return;
        }
        List<ItemId> others = new ArrayList<>();
        for (int index = 0; index < spec.count(); index++) {
            ItemId other = new ItemId(item.job(), item.occurrence(), item.step(), index);
            Away gone = away.get(other);
            boolean countsAsAway =
                    gone != null && (gone.byCommand || fleet.nowNanos() - gone.sinceNanos >= NOTICE.toNanos());
            if (!other.equals(item) && countsAsAway) {
                others.add(other);
            }
        }
        if (others.size() >= Math.max(1, spec.maxUnavailable())) {
            violations.add("command ends " + item + " on " + serverId + " while " + others + " are away");
        }
        away.put(item, new Away(fleet.nowNanos(), true));
    }

    /** Records that the scheduler acknowledged the completion of a work item to its server. */
    void endAcknowledged(ItemId item) {
        acknowledgedAtNanos.putIfAbsent(item, fleet.nowNanos());
    }

    /** Records that a server's lease expired before the completion of a work item was acknowledged to it. */
    void leaseLapsedBeforeAcknowledgement(ItemId item) {
        rerunAllowed.add(item);
    }

    /** Records that a crash removes the completion of a work item that was not acknowledged; it may run again. */
    void endForgottenByCrash(ItemId item) {
        endForgotten.add(item);
    }

    void unknownItemStarted(ItemId item) {
        violations.add("run of an unknown work item: " + item);
    }

    /** Records that a job is cancelled; a later start of one of its work items is a violation. */
    public void jobCancelled(String job) {
        cancelled.add(job);
    }

    /** Returns whether a work item has completed. */
    public boolean isDone(ItemId item) {
        return doneAtNanos.containsKey(item);
    }

    /** Returns whether a run of a work item is active on any server. */
    public boolean isRunning(ItemId item) {
        return !runningServers.getOrDefault(item, Set.of()).isEmpty();
    }

    /** Returns the number of failed runs of a work item. */
    public int failures(ItemId item) {
        return failures.getOrDefault(item, 0);
    }

    /** Returns the number of runs started so far. */
    public int startCount() {
        return startCount;
    }

    /** Returns descriptions of all violations, in order of occurrence. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
