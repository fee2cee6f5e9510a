package org.basilswitch.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobSubmission;

/**
 * Derives the outlook from the order of the open jobs, on the scheduler's leader, and learns how well it predicts. All of
 * it is kept in memory: a new leader starts anew and turns nothing away until it has watched its pools for a while.
 */
public final class OverloadMonitor {
    private static final Duration INTERVAL = Duration.ofMillis(250);
    /** Age at which the outlook is not told any more, as when the leader may not send commands. */
    private static final Duration MAX_AGE = Duration.ofSeconds(1);
    /** Time for which a new leader watches its pools before it tells anything about them. */
    private static final Duration WATCH_TIME = Duration.ofSeconds(4);
    /** Wait from which a pool counts as short of room. */
    private static final Duration MIN_WAIT = Duration.ofSeconds(1);
    /** Time after its announced return for which a job is not turned away again. */
    private static final Duration RETURN_GRACE = Duration.ofSeconds(30);
    /** Time after its announced return for which room is kept for a job. */
    private static final Duration ROOM_GRACE = Duration.ofSeconds(2);
    /** Bound of the jobs that are expected back; they travel with each outlook. */
    private static final int MAX_RETURNING = 100;

    private final long fencingToken;
    private final Map<String, PredictionAccuracy> accuracies = new HashMap<>();
    private final Map<String, Prediction> predictions = new HashMap<>();
    /** Processor time of the jobs accepted since the order was read, core-milliseconds, by pool. */
    private final Map<String, Double> acceptedCoreMs = new HashMap<>();

    private final Map<String, Expected> returning = new LinkedHashMap<>();
    private Optional<Outlook> outlook = Optional.empty();
    private Long firstUpdateNanos;
    private long updatedNanos;

    private record Prediction(String queue, double endMs, double targetMs, long madeNanos) {
        private boolean isLate(long nowNanos) {
            return (nowNanos - madeNanos) / 1e6 > targetMs;
        }

        private double ratio(long nowNanos) {
            return (nowNanos - madeNanos) / 1e6 / Math.max(1, endMs);
        }
    }

    private record Expected(ReturningJob job, long atNanos) {}

    private OverloadMonitor(long fencingToken) {
        this.fencingToken = fencingToken;
    }

    /** Creates a monitor for a leadership. */
    public static OverloadMonitor create(long fencingToken) {
        return new OverloadMonitor(fencingToken);
    }

    /** Returns whether the outlook is to be derived again. */
    public boolean isDue(long nowNanos) {
        return firstUpdateNanos == null || nowNanos - updatedNanos >= INTERVAL.toNanos();
    }

    /** Returns the ratio of the actual to the predicted time to the end that the queue's late jobs support. */
    public double favourableRatio(String queue, long nowNanos) {
        double[] open = predictions.values().stream()
                .filter(prediction -> prediction.queue.equals(queue))
                .mapToDouble(prediction -> prediction.ratio(nowNanos))
                .toArray();
        return accuracies.getOrDefault(queue, new PredictionAccuracy()).favourableRatio(open);
    }

    /**
     * Derives the outlook.
     *
     * @param rooms room by pool
     * @param openJobs open jobs that end, by pool
     * @param queues what was learned, by queue; queues of which no run has ended are missing
     * @param teamsAboveRate teams that submit more than their share
     */
    public void update(
            long nowNanos,
            Map<String, PoolRoom> rooms,
            Map<String, List<OpenJob>> openJobs,
            Map<String, QueueOutlook> queues,
            Set<String> teamsAboveRate) {
        if (firstUpdateNanos == null) {
            firstUpdateNanos = nowNanos;
        }
        updatedNanos = nowNanos;
        acceptedCoreMs.clear();
        returning.values().removeIf(expected -> nowNanos - expected.atNanos > RETURN_GRACE.toNanos());
        Map<String, PoolOutlook> pools = new HashMap<>();
        rooms.forEach((pool, room) -> {
            PoolOutlook derived =
                    poolOutlook(room, openJobs.getOrDefault(pool, List.of()), returningCoreMs(pool, nowNanos));
            if (derived.drainMs() >= MIN_WAIT.toMillis()) {
                pools.put(pool, derived);
            }
        });
        boolean watched = nowNanos - firstUpdateNanos >= WATCH_TIME.toNanos();
        outlook = Optional.of(
                pools.isEmpty() || !watched
                        ? Outlook.withRoom(fencingToken)
                        : new Outlook(fencingToken, pools, queues, teamsAboveRate, returning.keySet()));
    }

    private double returningCoreMs(String pool, long nowNanos) {
        return returning.values().stream()
                .filter(expected ->
                        expected.job.pool().equals(pool) && nowNanos - expected.atNanos <= ROOM_GRACE.toNanos())
                .mapToDouble(expected -> expected.job.workCoreMs())
                .sum();
    }

    private static PoolOutlook poolOutlook(PoolRoom room, List<OpenJob> jobs, double returningCoreMs) {
        List<WaitingWork> onTime = new ArrayList<>();
        List<WaitingWork> late = new ArrayList<>();
        List<WaitingWork> deferred = new ArrayList<>();
        for (OpenJob job : jobs) {
            List<WaitingWork> place = switch (job.place()) {
                case ON_TIME -> onTime;
                case LATE -> late;
                case ABOVE_RATE -> deferred;
            };
            place.add(new WaitingWork(job.workPerValue(), job.waitingCoreMs()));
        }
        return new PoolOutlook(
                room,
                WaitingWork.sumUp(onTime),
                WaitingWork.sumUp(late),
                WaitingWork.sumUp(deferred),
                0,
                returningCoreMs);
    }

    /** Returns the outlook; empty unless it is up to date. */
    public Optional<Outlook> outlook(long nowNanos) {
        double elapsedMs = (nowNanos - updatedNanos) / 1e6;
        return outlook.filter(current -> elapsedMs <= MAX_AGE.toMillis()).map(current -> {
            Map<String, PoolOutlook> pools = new HashMap<>(current.pools());
            pools.replaceAll((pool, read) -> read.after(acceptedCoreMs.getOrDefault(pool, 0.0), elapsedMs));
            return new Outlook(fencingToken, pools, current.queues(), current.teamsAboveRate(), returning.keySet());
        });
    }

    /** Returns the jobs that entry hosts do not turn away. */
    Set<String> returningJobs() {
        return Set.copyOf(returning.keySet());
    }

    /** Takes note of jobs that entry hosts have told to return. */
    public void onTurnedAway(List<ReturningJob> jobs, long nowNanos) {
        for (ReturningJob job : jobs) {
            if (returning.size() >= MAX_RETURNING && !returning.containsKey(job.id())) {
                forgetOldestReturning();
            }
            returning.put(
                    job.id(),
                    new Expected(
                            job, nowNanos + Duration.ofMillis(job.returnInMs()).toNanos()));
        }
    }

    /** Makes place for another job: those that may be stored are kept for longest, as a refusal of them would be untrue. */
    private void forgetOldestReturning() {
        returning.entrySet().stream()
                .filter(entry -> entry.getValue().job.workCoreMs() > 0)
                .findFirst()
                .or(() -> returning.entrySet().stream().findFirst())
                .map(Map.Entry::getKey)
                .ifPresent(returning::remove);
    }

    /** Predicts the end of a job that was taken, to compare it with the actual end. */
    public void onAccepted(JobSubmission job, JobConfiguration configuration, boolean aboveRate, long nowNanos) {
        returning.remove(job.id());
        JobQueue queue = configuration.queues().get(job.queue());
        if (queue == null || job.isLongRunning() || job.recurrence() != null) {
            return;
        }
        outlook(nowNanos).ifPresent(current -> {
            PoolOutlook pool = current.pools().get(queue.pool());
            QueueOutlook learned = current.queues().get(queue.name());
            if (pool != null && learned != null) {
                JobDemand demand = JobDemand.of(job.steps(), queue, learned);
                double endMs = pool.waitMs(demand, aboveRate, AdmissionPolicy.Since.NONE) + demand.chainMs();
                if (endMs > demand.targetMs()) {
                    predictions.put(job.id(), new Prediction(queue.name(), endMs, demand.targetMs(), nowNanos));
                }
                acceptedCoreMs.merge(queue.pool(), demand.workCoreMs(), Double::sum);
            }
        });
    }

    /** Compares the end of a job with its prediction. */
    public void onEnded(String job, boolean completed, long nowNanos) {
        Prediction prediction = predictions.remove(job);
        // A job that was on time all the same has displaced one of equal value; it says nothing about the others'
        // waits.
        if (prediction != null && completed && prediction.isLate(nowNanos)) {
            accuracies
                    .computeIfAbsent(prediction.queue, name -> new PredictionAccuracy())
                    .add(prediction.ratio(nowNanos));
        }
    }
}
