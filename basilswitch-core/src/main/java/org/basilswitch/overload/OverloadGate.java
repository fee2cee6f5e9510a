package org.basilswitch.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;

/**
 * Turns away jobs at an entry host by the newest outlook of the scheduler's leader. Without one, with one that is old, or
 * with that of an earlier leader, every job is taken.
 */
public final class OverloadGate {
    private static final Duration MAX_OUTLOOK_AGE = Duration.ofSeconds(1);
    /** Time for which a job that came here is remembered; its caller returns within it. */
    private static final Duration MEMORY = Duration.ofSeconds(60);
    /** Bound of the remembered jobs. */
    private static final int MAX_REMEMBERED = 2000;
    /** Bound of the jobs in one message to the leader. */
    private static final int MAX_REPORTED = 50;

    /** Interval at which a host that turns jobs away, and so stores none, asks for the outlook. */
    private static final Duration ASK_INTERVAL = Duration.ofMillis(250);

    private static final Duration EVENT_INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private final Telemetry telemetry;
    private Optional<Received> newest = Optional.empty();
    private volatile long longestWaitMs;
    private final Map<String, Remembered> remembered = new LinkedHashMap<>();
    private final List<ReturningJob> unreported = new ArrayList<>();
    private long turnedAwaySinceEvent;
    private Long lastEventNanos;
    private Long lastAskedNanos;

    /**
     * An outlook that the leader has sent.
     *
     * @param askedNanos monotonic time at which this host sent the message that it answers, ns
     */
    private record Received(String leader, Outlook outlook, long askedNanos) {
        private long ageNanos(Clock clock) {
            return clock.monotonicNanos() - askedNanos;
        }
    }

    /** A job that is not turned away any more. */
    private record Remembered(ReturningJob job, boolean turnedAway, long atNanos) {}

    private OverloadGate(Clock clock, Telemetry telemetry) {
        this.clock = clock;
        this.telemetry = telemetry;
    }

    /** Creates a gate that has no outlook yet. */
    public static OverloadGate create(Clock clock, Telemetry telemetry) {
        return new OverloadGate(clock, telemetry);
    }

    /**
     * Takes note of an outlook.
     *
     * @param askedNanos monotonic time at which this host sent the message that it answers, ns
     */
    public void onOutlook(String leader, Outlook outlook, long askedNanos) {
        boolean newer = newest.filter(
                        known -> known.outlook.fencingToken() > outlook.fencingToken() || known.askedNanos > askedNanos)
                .isEmpty();
        if (newer) {
            newest = Optional.of(new Received(leader, outlook, askedNanos));
            keepLongestWait(outlook);
        }
    }

    /** Returns whether the leader is to be asked for its outlook, after a job was turned away. */
    public boolean shouldAsk() {
        long nowNanos = clock.monotonicNanos();
        boolean due = lastAskedNanos == null || nowNanos - lastAskedNanos >= ASK_INTERVAL.toNanos();
        if (due) {
            lastAskedNanos = nowNanos;
        }
        return due;
    }

    /** Returns the longest wait of a pool in the last outlook, from any thread; zero without one. */
    public Duration longestWait() {
        return Duration.ofMillis(longestWaitMs);
    }

    private void keepLongestWait(Outlook outlook) {
        longestWaitMs = (long) outlook.pools().values().stream()
                .mapToDouble(PoolOutlook::drainMs)
                .max()
                .orElse(0);
    }

    private Optional<Received> received(Optional<String> leader) {
        return newest.filter(known ->
                leader.filter(known.leader::equals).isPresent() && known.ageNanos(clock) <= MAX_OUTLOOK_AGE.toNanos());
    }

    /**
     * Decides about a job before anything is stored.
     *
     * @param leader address of the scheduler's leader, as last read
     * @param own outlook of the scheduler of this host, if it is the leader
     */
    public Verdict decide(AdmissionPolicy.Candidate job, Optional<String> leader, Optional<Outlook> own) {
        Optional<Received> received = received(leader);
        Optional<Outlook> outlook = own.or(() -> received.map(Received::outlook));
        own.ifPresent(this::keepLongestWait);
        if (outlook.isEmpty() || remembered.containsKey(job.id())) {
            return new Verdict.Admitted();
        }
        String pool = job.queue().pool();
        AdmissionPolicy.Since since =
                own.isPresent() ? AdmissionPolicy.Since.NONE : since(pool, received.get().askedNanos);
        Verdict verdict = AdmissionPolicy.decide(outlook.get(), job, since);
        QueueOutlook learned = outlook.get().queues().get(job.queue().name());
        double workCoreMs = learned == null
                ? 0
                : JobDemand.of(job.steps(), job.queue(), learned).workCoreMs();
        switch (verdict) {
            case Verdict.Admitted admitted -> remember(new ReturningJob(job.id(), pool, workCoreMs, 0), false);
            case Verdict.TurnedAway turnedAway -> {
                ReturningJob returning = new ReturningJob(
                        job.id(), pool, workCoreMs, turnedAway.retryAfter().toMillis());
                remember(returning, true);
                addUnreported(returning);
                countTurnedAway(job, outlook.get(), turnedAway);
            }
        }
        return verdict;
    }

    private AdmissionPolicy.Since since(String pool, long askedNanos) {
        double taken = 0;
        double turnedAway = 0;
        for (Remembered known : remembered.values()) {
            if (known.job.pool().equals(pool) && known.atNanos - askedNanos > 0) {
                taken += known.turnedAway ? 0 : known.job.workCoreMs();
                turnedAway += known.turnedAway ? known.job.workCoreMs() : 0;
            }
        }
        return new AdmissionPolicy.Since(taken, turnedAway);
    }

    private void countTurnedAway(AdmissionPolicy.Candidate job, Outlook outlook, Verdict.TurnedAway verdict) {
        boolean aboveRate = outlook.teamsAboveRate().contains(job.team());
        telemetry.count(CounterCode.JOBS_REFUSED, aboveRate ? "overload-above-rate" : "overload");
        telemetry.count(CounterCode.JOBS_TURNED_AWAY, job.queue().name());
        turnedAwaySinceEvent++;
        long nowNanos = clock.monotonicNanos();
        if (lastEventNanos == null || nowNanos - lastEventNanos >= EVENT_INTERVAL.toNanos()) {
            telemetry.event(
                    EventCode.JOBS_TURNED_AWAY,
                    "jobs=" + turnedAwaySinceEvent + " last=" + job.id() + " queue="
                            + job.queue().name() + " team=" + job.team() + " predictedMs="
                            + Math.round(verdict.predictedEndMs()) + " usefulMs=" + Math.round(verdict.usefulMs())
                            + " retryAfterS=" + verdict.retryAfter().toSeconds());
            turnedAwaySinceEvent = 0;
            lastEventNanos = nowNanos;
        }
    }

    /** Takes note of a job that this host begins to store; it may be stored from now on and is not turned away any more. */
    public void onStoring(String id) {
        if (!remembered.containsKey(id)) {
            remember(new ReturningJob(id, "", 0, 0), false);
        }
    }

    /** Takes note of a job of which it is not known whether it is stored, so that other hosts do not turn it away. */
    public void onUndecided(String id) {
        addUnreported(new ReturningJob(id, "", 0, 0));
    }

    private void remember(ReturningJob job, boolean turnedAway) {
        forgetOldJobs();
        remembered.put(job.id(), new Remembered(job, turnedAway, clock.monotonicNanos()));
    }

    private void addUnreported(ReturningJob job) {
        if (unreported.size() < MAX_REPORTED) {
            unreported.add(job);
        }
    }

    /** Returns the jobs that the leader has not been told of, for the next message to it. */
    public List<ReturningJob> takeUnreported() {
        List<ReturningJob> jobs = List.copyOf(unreported);
        unreported.clear();
        return jobs;
    }

    private void forgetOldJobs() {
        long nowNanos = clock.monotonicNanos();
        var jobs = remembered.values().iterator();
        while (jobs.hasNext()) {
            boolean old = nowNanos - jobs.next().atNanos > MEMORY.toNanos();
            if (!old && remembered.size() <= MAX_REMEMBERED) {
                return;
            }
            jobs.remove();
        }
    }
}
