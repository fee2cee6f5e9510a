package org.basilswitch.standin.worker;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.basilswitch.time.Clock;

/**
 * Tasks that run on a worker under leases: each works off its time at its throttled speed, keeps its progress at a
 * checkpoint, and is stopped when its lease lapses. Usage is reported as it was some seconds ago.
 */
public final class TaskTable {
    /** Time between two steps of the tasks. */
    public static final Duration TICK = Duration.ofMillis(100);

    private static final Duration REPORT_LAG = Duration.ofSeconds(3);

    private final Clock clock;
    private final Map<String, Task> tasks = new TreeMap<>();
    private final Deque<TimedUsage> history = new ArrayDeque<>();
    private long lastTickNanos;

    private TaskTable(Clock clock) {
        this.clock = clock;
        this.lastTickNanos = clock.monotonicNanos();
    }

    /** Creates an empty table. */
    public static TaskTable create(Clock clock) {
        return new TaskTable(clock);
    }

    /** Phases of a task. */
    public enum Phase {
        RUNNING,
        COMPLETED,
        CHECKPOINTED,
        STOPPED,
        LEASE_LAPSED
    }

    /**
     * A task to start; what it uses may differ from what it declares.
     *
     * @param id unique identifier
     * @param team team that it runs for
     * @param processors processors declared
     * @param memoryBytes memory declared, in bytes
     * @param accelerators accelerators held
     * @param usedProcessors processors used at full speed
     * @param usedMemoryBytes memory used, in bytes
     * @param workMs time to work off at full speed, in milliseconds; 0 never ends
     * @param leaseMs time after which the task is stopped unless its lease is renewed, in milliseconds
     * @param progressMs time already worked off at an earlier checkpoint, in milliseconds
     */
    public record TaskSpec(
            String id,
            String team,
            double processors,
            long memoryBytes,
            int accelerators,
            double usedProcessors,
            long usedMemoryBytes,
            long workMs,
            long leaseMs,
            long progressMs) {
        boolean valid() {
            return id != null && !id.isEmpty() && team != null && leaseMs > 0 && workMs >= 0 && progressMs >= 0;
        }
    }

    /**
     * A task's state.
     *
     * @param spec what was started
     * @param phase phase
     * @param speedRatio part of full speed, from 0 to 1
     * @param progressMs time worked off, in milliseconds
     * @param checkpointMs progress at the last checkpoint, in milliseconds
     * @param leaseEndNanos monotonic time at which the lease lapses
     */
    public record Task(
            TaskSpec spec, Phase phase, double speedRatio, double progressMs, double checkpointMs, long leaseEndNanos) {
        private Task withPhase(Phase next) {
            return new Task(spec, next, speedRatio, progressMs, checkpointMs, leaseEndNanos);
        }

        private Task withProgress(double progress) {
            return new Task(spec, phase, speedRatio, progress, checkpointMs, leaseEndNanos);
        }
    }

    /**
     * Usage of the tasks that ran at a time in the past.
     *
     * @param ageMs age of the report, in milliseconds
     * @param processors processors used
     * @param memoryBytes memory used, in bytes
     * @param accelerators accelerators held
     * @param tasks tasks that ran
     */
    public record Usage(long ageMs, double processors, long memoryBytes, int accelerators, List<String> tasks) {}

    private record TimedUsage(long takenNanos, Usage usage) {}

    /** Starts a task; starting the same identifier again returns the task as it is. */
    public Task start(TaskSpec spec) {
        return tasks.computeIfAbsent(
                spec.id(),
                id -> new Task(spec, Phase.RUNNING, 1, spec.progressMs(), spec.progressMs(), leaseEnd(spec)));
    }

    private long leaseEnd(TaskSpec spec) {
        return clock.monotonicNanos() + Duration.ofMillis(spec.leaseMs()).toNanos();
    }

    /** Finds a task. */
    public Optional<Task> find(String id) {
        return Optional.ofNullable(tasks.get(id));
    }

    /** All tasks. */
    public List<Task> all() {
        return List.copyOf(tasks.values());
    }

    private Optional<Task> updateIfRunning(String id, java.util.function.UnaryOperator<Task> step) {
        Task task = tasks.computeIfPresent(id, (key, old) -> old.phase() == Phase.RUNNING ? step.apply(old) : old);
        return Optional.ofNullable(task);
    }

    /** Renews a running task's lease. */
    public Optional<Task> renew(String id) {
        return updateIfRunning(
                id,
                task -> new Task(
                        task.spec(),
                        task.phase(),
                        task.speedRatio(),
                        task.progressMs(),
                        task.checkpointMs(),
                        leaseEnd(task.spec())));
    }

    /** Keeps a running task's progress and ends it here; it can be started elsewhere from that progress. */
    public Optional<Task> checkpoint(String id) {
        return updateIfRunning(
                id,
                task -> new Task(
                        task.spec(),
                        Phase.CHECKPOINTED,
                        task.speedRatio(),
                        task.progressMs(),
                        task.progressMs(),
                        task.leaseEndNanos()));
    }

    /** Slows a running task down to a part of its full speed. */
    public Optional<Task> throttle(String id, double ratio) {
        double speed = Math.max(0, Math.min(1, ratio));
        return updateIfRunning(
                id,
                task -> new Task(
                        task.spec(),
                        task.phase(),
                        speed,
                        task.progressMs(),
                        task.checkpointMs(),
                        task.leaseEndNanos()));
    }

    /** Ends a running task; its progress since the last checkpoint is lost. */
    public Optional<Task> stop(String id) {
        return updateIfRunning(id, task -> task.withPhase(Phase.STOPPED));
    }

    /** Forgets everything, as a reboot does. */
    public void clear() {
        tasks.clear();
    }

    /** Advances the running tasks to the present and takes a usage report. */
    public void tick() {
        long nowNanos = clock.monotonicNanos();
        double elapsedMs =
                (double) (nowNanos - lastTickNanos) / Duration.ofMillis(1).toNanos();
        lastTickNanos = nowNanos;
        tasks.replaceAll((id, task) -> task.phase() == Phase.RUNNING ? advance(task, nowNanos, elapsedMs) : task);
        history.addLast(new TimedUsage(nowNanos, measureUsage()));
        while (history.size() > 1 && nowNanos - history.peekFirst().takenNanos() > REPORT_LAG.toNanos()) {
            history.removeFirst();
        }
    }

    private static Task advance(Task task, long nowNanos, double elapsedMs) {
        if (nowNanos - task.leaseEndNanos() > 0) {
            return task.withPhase(Phase.LEASE_LAPSED);
        }
        Task worked = task.withProgress(task.progressMs() + elapsedMs * task.speedRatio());
        boolean completed =
                task.spec().workMs() > 0 && worked.progressMs() >= task.spec().workMs();
        return completed ? worked.withPhase(Phase.COMPLETED) : worked;
    }

    private Usage measureUsage() {
        List<Task> running = tasks.values().stream()
                .filter(task -> task.phase() == Phase.RUNNING)
                .toList();
        return new Usage(
                0,
                running.stream()
                        .mapToDouble(task -> task.spec().usedProcessors() * task.speedRatio())
                        .sum(),
                running.stream()
                        .mapToLong(task -> task.spec().usedMemoryBytes())
                        .sum(),
                running.stream().mapToInt(task -> task.spec().accelerators()).sum(),
                running.stream().map(task -> task.spec().id()).toList());
    }

    /** The usage as it was at the oldest report kept, at most some seconds ago. */
    public Usage usageReport() {
        if (history.isEmpty()) {
            return new Usage(0, 0, 0, 0, List.of());
        }
        TimedUsage oldest = history.peekFirst();
        Usage usage = oldest.usage();
        long ageMs =
                Duration.ofNanos(clock.monotonicNanos() - oldest.takenNanos()).toMillis();
        return new Usage(ageMs, usage.processors(), usage.memoryBytes(), usage.accelerators(), usage.tasks());
    }
}
