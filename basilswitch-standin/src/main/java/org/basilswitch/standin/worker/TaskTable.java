package org.basilswitch.standin.worker;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.basilswitch.time.Clock;
import org.basilswitch.time.SuspendAwareClock;

/**
 * Tasks that run on a worker under leases. Each task progresses at its throttled speed, saves its progress at a
 * checkpoint and is stopped when its lease expires. Usage is reported with a lag of some seconds.
 */
public final class TaskTable {
    /** Interval between two updates of the tasks. */
    public static final Duration TICK = Duration.ofMillis(100);

    private static final Duration REPORT_LAG = Duration.ofSeconds(3);

    private final Clock clock;
    /** Counts suspensions of the host, during which the leases go on. */
    private final Clock leaseClock;

    private final Map<String, Task> tasks = new TreeMap<>();
    private final Deque<TimedUsage> history = new ArrayDeque<>();
    private long lastTickNanos;

    private TaskTable(Clock clock) {
        this.clock = clock;
        this.leaseClock = SuspendAwareClock.of(clock);
        this.lastTickNanos = clock.monotonicNanos();
    }

    /** Creates an empty table. */
    public static TaskTable create(Clock clock) {
        return new TaskTable(clock);
    }

    /** Phase of a task; every phase but {@link #RUNNING} is final. */
    public enum Phase {
        RUNNING,
        COMPLETED,
        CHECKPOINTED,
        STOPPED,
        LEASE_LAPSED
    }

    /**
     * A task to start; its actual usage may differ from its declared resources.
     *
     * @param id unique identifier
     * @param team team that the task belongs to
     * @param processors declared processors
     * @param memoryBytes declared memory, in bytes
     * @param accelerators accelerators in use
     * @param usedProcessors processors used at full speed
     * @param usedMemoryBytes memory in use, in bytes
     * @param workMs duration of the task at full speed, in milliseconds; 0 for a task that never completes
     * @param leaseMs lease duration after which the task is stopped unless the lease is renewed, in milliseconds
     * @param progressMs progress at an earlier checkpoint from which the task resumes, in milliseconds
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
     * @param spec specification that the task was started with
     * @param phase current phase
     * @param speedRatio fraction of full speed, from 0 to 1
     * @param progressMs progress so far, in milliseconds at full speed
     * @param checkpointMs progress at the last checkpoint, in milliseconds
     * @param leaseEndNanos monotonic time at which the lease expires, in nanoseconds
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
     * Resource usage of the tasks that were running at a past time.
     *
     * @param ageMs age of the report, in milliseconds
     * @param processors processors in use
     * @param memoryBytes memory in use, in bytes
     * @param accelerators accelerators in use
     * @param tasks identifiers of the running tasks
     */
    public record Usage(long ageMs, double processors, long memoryBytes, int accelerators, List<String> tasks) {}

    private record TimedUsage(long takenNanos, Usage usage) {}

    /** Starts a task; if the identifier is already known, returns the existing task unchanged. */
    public Task start(TaskSpec spec) {
        return tasks.computeIfAbsent(
                spec.id(),
                id -> new Task(spec, Phase.RUNNING, 1, spec.progressMs(), spec.progressMs(), leaseEnd(spec)));
    }

    private long leaseEnd(TaskSpec spec) {
        return leaseClock.monotonicNanos() + Duration.ofMillis(spec.leaseMs()).toNanos();
    }

    /** Returns the task with an identifier; empty if there is none. */
    public Optional<Task> find(String id) {
        return Optional.ofNullable(tasks.get(id));
    }

    /** Returns all tasks, in the order of their identifiers. */
    public List<Task> all() {
        return List.copyOf(tasks.values());
    }

    private Optional<Task> updateIfRunning(String id, java.util.function.UnaryOperator<Task> step) {
        Task task = tasks.computeIfPresent(id, (key, old) -> old.phase() == Phase.RUNNING ? step.apply(old) : old);
        return Optional.ofNullable(task);
    }

    /** Renews the lease if the task is running; empty if the task is unknown. */
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

    /** Saves a running task's progress and ends it here; it can resume on another worker from that progress. */
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

    /** Limits a running task to a fraction of its full speed, clamped to 0 to 1. */
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

    /** Removes all tasks, as a reboot does. */
    public void clear() {
        tasks.clear();
    }

    /** Advances the running tasks to the current time and records their usage. */
    public void tick() {
        long nowNanos = clock.monotonicNanos();
        long leaseNanos = leaseClock.monotonicNanos();
        double elapsedMs =
                (double) (nowNanos - lastTickNanos) / Duration.ofMillis(1).toNanos();
        lastTickNanos = nowNanos;
        tasks.replaceAll((id, task) -> task.phase() == Phase.RUNNING ? advance(task, leaseNanos, elapsedMs) : task);
        history.addLast(new TimedUsage(nowNanos, measureUsage()));
        while (history.size() > 1 && nowNanos - history.peekFirst().takenNanos() > REPORT_LAG.toNanos()) {
            history.removeFirst();
        }
    }

    private static Task advance(Task task, long leaseNanos, double elapsedMs) {
        if (leaseNanos - task.leaseEndNanos() > 0) {
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

    /** Returns the oldest retained usage record, which is a few seconds old; zero usage if there is none. */
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
