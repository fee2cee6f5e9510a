package org.basilswitch.intake;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.JobConfigurationSnapshot;
import org.basilswitch.schedule.JobScheduler;
import org.basilswitch.time.Clock;

/** Answers callers' calls from the configuration, the store and the scheduler. */
public final class JobService {
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");
    /** A negative answer about a queue or a key needs a configuration at most this old; otherwise it is read again. */
    private static final Duration FRESH = Duration.ofMillis(250);
    /** Without a configuration confirmed within this time, a queue or key that is missing may just be new. */
    private static final Duration NEGATIVE_AGE = Duration.ofMillis(1800);
    /** Part of the caller's patience that is kept for the answer's way back. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(150);

    /** Below the usual patience of callers, 3 s, less the way back. */
    private static final Duration LONGEST_TIMEOUT = Duration.ofMillis(2500);
    /** A refused caller finds another host by then; the balancer needs two probes to leave one out. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** Decisions on one call while the configuration changes under it. */
    private static final int MOST_DECISIONS = 4;

    private final JobNode node;
    private final JobNode.Dependencies dependencies;
    private final Clock clock;
    private final JobConfigurationFollower jobConfiguration;
    private final JobIntake intake;
    private final JobDirectory directory;
    private final Telemetry telemetry;

    JobService(
            JobNode node,
            JobNode.Dependencies parts,
            Clock clock,
            JobConfigurationFollower site,
            JobIntake intake,
            JobDirectory directory) {
        this.node = node;
        this.dependencies = parts;
        this.clock = clock;
        this.jobConfiguration = site;
        this.intake = intake;
        this.directory = directory;
        this.telemetry = parts.telemetry();
    }

    /** Limits of requests, from the configuration. */
    public Optional<JobConfigurationSnapshot> jobConfiguration() {
        return jobConfiguration.view();
    }

    /** Answers a call. */
    public CompletionStage<JobAnswer> answer(JobCall call) {
        Duration timeout = timeout(call);
        long untilNanos = clock.monotonicNanos() + timeout.toNanos();
        CompletionStage<JobAnswer> decided = decide(
                        new Request(call, untilNanos, otherLeader().isPresent()), 0)
                .thenCompose(
                        own -> isFinal(own) ? CompletableFuture.completedFuture(own) : handOver(call, own, untilNanos));
        return withinTimeout(call, timeout, decided);
    }

    /** Answers a call that another entry host has handed over. */
    CompletionStage<JobAnswer> answerForPeer(JobCall call) {
        Duration timeout = timeout(call);
        long untilNanos = clock.monotonicNanos() + timeout.toNanos();
        return withinTimeout(call, timeout, decide(new Request(call, untilNanos, false), 0));
    }

    /** Whether another entry host would say the same. */
    private static boolean isFinal(JobAnswer answer) {
        return !(answer instanceof JobAnswer.Refused) && !(answer instanceof JobAnswer.Undecided);
    }

    /**
     * Has the holder of the duty answer a call that the store does not let this host decide. Without its answer this host
     * goes on by itself; a refusal is told only when neither of the two may have stored anything.
     */
    private CompletionStage<JobAnswer> handOver(JobCall call, JobAnswer own, long untilNanos) {
        Optional<String> holder = otherLeader();
        Duration left = left(untilNanos);
        if (holder.isEmpty() || left.compareTo(ANSWER_MARGIN) < 0) {
            return CompletableFuture.completedFuture(own);
        }
        JobCall relayed = new JobCall(call.host(), call.path(), call.key(), left, call.action());
        return dependencies.schedulerClient().forward(holder.get(), relayed).thenCompose(answer -> {
            telemetry.event(
                    EventCode.CALL_HANDED_OVER,
                    describe(call) + " holder=" + holder.get() + " answer="
                            + answer.map(found -> found.getClass().getSimpleName())
                                    .orElse("none"));
            if (answer.isEmpty()) {
                return decide(new Request(call, untilNanos, false), 0).thenApply(JobService::withDoubt);
            }
            boolean mayBeStored = own instanceof JobAnswer.Undecided;
            return CompletableFuture.completedFuture(mayBeStored ? withDoubt(answer.get()) : answer.get());
        });
    }

    /** The answer where an earlier try may have stored something. */
    private static JobAnswer withDoubt(JobAnswer answer) {
        return answer instanceof JobAnswer.Refused refused ? new JobAnswer.Undecided(refused.reason()) : answer;
    }

    private CompletionStage<JobAnswer> withinTimeout(
            JobCall call, Duration timeout, CompletionStage<JobAnswer> decided) {
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        Completions.then(decided, telemetry, "call", answer::complete);
        if (!answer.isDone()) {
            dependencies.timers().schedule(timeout, () -> {
                if (answer.complete(timedOut(call))) {
                    telemetry.event(
                            EventCode.CALL_TIMED_OUT,
                            describe(call) + " timeoutMs=" + timeout.toMillis() + " " + configuration());
                }
            });
        }
        return answer;
    }

    /**
     * A call that is being decided.
     *
     * @param untilNanos monotonic time at which the caller's patience ends, ns
     * @param mayHandOver whether another host can go on if the store turns this one away
     */
    private record Request(JobCall call, long untilNanos, boolean mayHandOver) {}

    private static String describe(JobCall call) {
        String action = switch (call.action()) {
            case JobCall.Query query -> "query";
            case JobCall.Submit submit -> "submit";
            case JobCall.Cancel cancel -> "cancel";
        };
        return action + " path=" + call.path();
    }

    /** Version and age of the configuration that decisions follow, for logs. */
    private String configuration() {
        return jobConfiguration
                .view()
                .map(view -> "configuration=" + view.configuration().version() + " ageMs="
                        + (clock.monotonicNanos() - view.confirmedNanos()) / 1_000_000)
                .orElse("configuration=none");
    }

    private JobAnswer notAdmitted(JobCall call, JobAnswer answer) {
        telemetry.event(
                EventCode.CALL_NOT_ADMITTED,
                describe(call) + " answer=" + answer.getClass().getSimpleName() + " " + configuration());
        return answer;
    }

    /** The answer when the caller's patience ends: what writes may have been carried out. */
    private static JobAnswer timedOut(JobCall call) {
        return switch (call.action()) {
            case JobCall.Query query -> new JobAnswer.Refused("no answer of the store in time", RETRY_AFTER);
            case JobCall.Submit submit -> new JobAnswer.Undecided("no answer of the store in time");
            case JobCall.Cancel cancel -> new JobAnswer.Undecided("no answer of the store in time");
        };
    }

    private static Duration timeout(JobCall call) {
        Duration timeout = call.timeout().minus(ANSWER_MARGIN);
        return timeout.compareTo(LONGEST_TIMEOUT) < 0 ? timeout : LONGEST_TIMEOUT;
    }

    private Duration left(long untilNanos) {
        return Duration.ofNanos(Math.max(0, untilNanos - clock.monotonicNanos()));
    }

    private CompletionStage<JobAnswer> decide(Request request, int earlier) {
        JobCall call = request.call();
        if (jobConfiguration.view().isEmpty()) {
            return refused("no configuration has been read yet");
        }
        JobConfigurationSnapshot view = jobConfiguration.view().get();
        Optional<JobQueue> queue =
                JobQueue.findByPath(view.configuration().queues().values(), call.host(), call.path());
        Optional<JobTeam> team = call.key().flatMap(view.configuration()::teamOf);
        boolean admitted = queue.isPresent() && (queue.get().open() || team.isPresent());
        if (!admitted) {
            Supplier<JobAnswer> answer = queue.isEmpty() ? JobAnswer.UnknownQueue::new : JobAnswer.UnknownKey::new;
            return negative(request, earlier, answer);
        }
        String id = call.path().substring(queue.get().pathPrefix().length());
        boolean read = !(call.action() instanceof JobCall.Submit);
        if (read && !queue.get().open() && !jobConfiguration.confirmedWithin(dependencies.keyAge())) {
            return readAgain(request, earlier, "configuration is too old to trust the key");
        }
        if (id.isEmpty() && call.action() instanceof JobCall.Query) {
            return pending(queue.get());
        }
        if (!JOB_ID.matcher(id).matches()) {
            return CompletableFuture.completedFuture(
                    new JobAnswer.Invalid("a job's identifier has 16 hexadecimal digits"));
        }
        return switch (call.action()) {
            case JobCall.Submit submit -> submit(request, earlier, view, queue.get(), team, id, submit);
            case JobCall.Query query -> query(id, request);
            case JobCall.Cancel cancel -> cancel(id, request);
        };
    }

    private CompletionStage<JobAnswer> negative(Request request, int earlier, Supplier<JobAnswer> answer) {
        if (jobConfiguration.confirmedWithin(FRESH) || earlier > 0 && jobConfiguration.confirmedWithin(NEGATIVE_AGE)) {
            return CompletableFuture.completedFuture(notAdmitted(request.call(), answer.get()));
        }
        return readAgain(request, earlier, "configuration is too old to say that a queue or key is missing");
    }

    private CompletionStage<JobAnswer> readAgain(Request request, int earlier, String reason) {
        if (earlier >= MOST_DECISIONS || left(request.untilNanos()).isZero()) {
            return refused(reason);
        }
        return jobConfiguration.refresh().thenCompose(done -> decide(request, earlier + 1));
    }

    private CompletionStage<JobAnswer> refused(String reason) {
        return CompletableFuture.completedFuture(new JobAnswer.Refused(reason, RETRY_AFTER));
    }

    private CompletionStage<JobAnswer> submit(
            Request request,
            int earlier,
            JobConfigurationSnapshot view,
            JobQueue queue,
            Optional<JobTeam> team,
            String id,
            JobCall.Submit submit) {
        if (directory.contains(id)) {
            return CompletableFuture.completedFuture(new JobAnswer.Accepted());
        }
        JobSubmission submission = new JobSubmission(
                id,
                queue.name(),
                team.map(JobTeam::name).orElse(""),
                submit.spec(),
                submit.steps(),
                submit.recurrence().orElse(null),
                clock.millis());
        Duration left = left(request.untilNanos());
        return intake.submit(submission, view.revision(), left, request.mayHandOver())
                .thenCompose(result -> switch (result) {
                    case JobIntake.Stored stored -> accepted(submission);
                    case JobIntake.ConfigurationChanged changed ->
                        readAgain(request, earlier, "configuration keeps changing");
                    case JobIntake.NotStored not -> {
                        telemetry.count(CounterCode.JOBS_REFUSED, "store");
                        telemetry.event(EventCode.JOB_REFUSED, "job=" + id + " store: " + not.reason());
                        yield refused("the store did not take the job: " + not.reason());
                    }
                    case JobIntake.Missing missing -> refused("not stored");
                    case JobIntake.Undecided undecided -> {
                        telemetry.event(EventCode.JOB_UNDECIDED, "job=" + id + " " + undecided.reason());
                        yield CompletableFuture.completedFuture(new JobAnswer.Undecided(undecided.reason()));
                    }
                });
    }

    private CompletionStage<JobAnswer> accepted(JobSubmission submission) {
        telemetry.count(CounterCode.JOBS_ACCEPTED, submission.queue());
        telemetry.event(
                EventCode.JOB_ACCEPTED,
                "job=" + submission.id() + " queue=" + submission.queue() + " team=" + submission.team() + " steps="
                        + submission.steps().stream().map(StepSpec::summary).toList());
        directory.addAccepted(submission);
        otherLeader().ifPresent(holder -> dependencies.schedulerClient().notifyAccepted(holder, submission));
        return CompletableFuture.completedFuture(new JobAnswer.Accepted());
    }

    private Optional<String> otherLeader() {
        return directory.leader().filter(holder -> !holder.equals(dependencies.address()));
    }

    private CompletionStage<JobAnswer> cancel(String id, Request request) {
        return intake.cancel(id, left(request.untilNanos()), request.mayHandOver())
                .thenApply(result -> switch (result) {
                    case JobIntake.Stored stored -> {
                        if (directory.finalState(id).isEmpty()) {
                            telemetry.event(EventCode.JOB_CANCELLED, "job=" + id);
                        }
                        directory.addCancelled(id);
                        otherLeader()
                                .ifPresent(
                                        holder -> dependencies.schedulerClient().notifyCancelled(holder, id));
                        yield new JobAnswer.Cancelled();
                    }
                    case JobIntake.Missing missing -> new JobAnswer.UnknownJob();
                    case JobIntake.NotStored not -> new JobAnswer.Refused(not.reason(), RETRY_AFTER);
                    case JobIntake.ConfigurationChanged changed -> new JobAnswer.Refused("not stored", RETRY_AFTER);
                    case JobIntake.Undecided undecided -> new JobAnswer.Undecided(undecided.reason());
                });
    }

    private CompletionStage<JobAnswer> query(String id, Request request) {
        Optional<JobState> known =
                directory.finalState(id).or(() -> node.scheduler().flatMap(s -> s.jobState(id)));
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(new JobAnswer.State(known.get()));
        }
        Optional<String> holder = otherLeader();
        if (holder.isEmpty()) {
            return stored(id, request);
        }
        return dependencies.schedulerClient().queryState(holder.get(), id).thenCompose(state -> {
            if (state.isPresent()) {
                return CompletableFuture.completedFuture(new JobAnswer.State(state.get()));
            }
            return stored(id, request);
        });
    }

    private CompletionStage<JobAnswer> stored(String id, Request request) {
        if (directory.contains(id)) {
            return CompletableFuture.completedFuture(new JobAnswer.State(JobState.QUEUED));
        }
        return intake.find(id, left(request.untilNanos()), request.mayHandOver())
                .thenApply(result -> result.fold(
                        error -> new JobAnswer.Refused(error.detail(), RETRY_AFTER),
                        entry ->
                                entry.isPresent() ? new JobAnswer.State(JobState.QUEUED) : new JobAnswer.UnknownJob()));
    }

    private CompletionStage<JobAnswer> pending(JobQueue queue) {
        Optional<JobScheduler> own = node.scheduler();
        if (own.isPresent()) {
            return CompletableFuture.completedFuture(
                    new JobAnswer.Pending(own.get().pendingJobs(queue.name())));
        }
        Optional<String> holder = otherLeader();
        if (holder.isEmpty()) {
            return CompletableFuture.completedFuture(new JobAnswer.Pending(directory.unfinishedCount(queue.name())));
        }
        return dependencies
                .schedulerClient()
                .queryPendingJobs(holder.get(), queue.name())
                .thenApply(
                        count -> new JobAnswer.Pending(count.orElseGet(() -> directory.unfinishedCount(queue.name()))));
    }
}
