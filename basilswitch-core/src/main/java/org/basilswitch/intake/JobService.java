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
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.JobConfigurationSnapshot;
import org.basilswitch.schedule.JobScheduler;
import org.basilswitch.time.Clock;

/** Answers calls from the configuration, the store and the scheduler. */
public final class JobService {
    private static final int JOB_ID_LENGTH = 16;

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{" + JOB_ID_LENGTH + "}");
    /** Longest age of the configuration at which an unknown queue or key is reported without another read. */
    private static final Duration NEGATIVE_ANSWER_MAX_AGE = Duration.ofMillis(250);
    /**
     * Longest age of the configuration at which an unknown queue or key is reported after another read. In an older
     * configuration, a newly added queue or key may be missing.
     */
    private static final Duration REREAD_NEGATIVE_ANSWER_MAX_AGE = Duration.ofMillis(1800);
    /** Part of the caller's timeout that is reserved for the transfer of the answer. */
    private static final Duration ANSWER_TRANSIT_MARGIN = Duration.ofMillis(150);

    /** Longest time to decide a call; below the usual timeout of callers, 3 s, less the transfer of the answer. */
    private static final Duration MAX_TIMEOUT = Duration.ofMillis(2500);
    /** Time after which the load balancer has left out this host, which takes two probes; the retry reaches another. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** Bound of the configuration reads for one call, in case the configuration keeps changing. */
    private static final int MAX_CONFIGURATION_REREADS = 4;

    private final JobNode node;
    private final JobNode.Dependencies dependencies;
    private final Clock clock;
    private final JobConfigurationFollower jobConfiguration;
    private final JobIntake intake;
    private final JobDirectory directory;
    private final Telemetry telemetry;

    JobService(
            JobNode node,
            JobNode.Dependencies dependencies,
            Clock clock,
            JobConfigurationFollower jobConfiguration,
            JobIntake intake,
            JobDirectory directory) {
        this.node = node;
        this.dependencies = dependencies;
        this.clock = clock;
        this.jobConfiguration = jobConfiguration;
        this.intake = intake;
        this.directory = directory;
        this.telemetry = dependencies.telemetry();
    }

    /** Returns the latest configuration, which holds the limits of requests; empty until one has been read. */
    public Optional<JobConfigurationSnapshot> jobConfiguration() {
        return jobConfiguration.snapshot();
    }

    /** Answers a call of a caller; forwards it to the leader when this host can't decide it. */
    public CompletionStage<JobAnswer> answer(JobCall call) {
        Duration timeout = boundedTimeout(call);
        long deadlineNanos = clock.monotonicNanos() + timeout.toNanos();
        CompletionStage<JobAnswer> decided = decide(
                        new Request(call, deadlineNanos, otherLeader().isPresent()), 0)
                .thenCompose(localAnswer -> isFinal(localAnswer)
                        ? CompletableFuture.completedFuture(localAnswer)
                        : forwardToLeader(call, localAnswer, deadlineNanos))
                .thenApply(answer -> isSubmissionOfStoredJob(call) ? refusedToUndecided(answer) : answer);
        return withinTimeout(call, timeout, decided);
    }

    /** Returns whether a call submits a job that is stored, so that a refusal would deny a job that runs. */
    private boolean isSubmissionOfStoredJob(JobCall call) {
        return call.action() instanceof JobCall.Submit
                && jobId(call).filter(directory::contains).isPresent();
    }

    private static JobAnswer refusedToUndecided(JobAnswer answer) {
        return answer instanceof JobAnswer.Refused refused ? new JobAnswer.Undecided(refused.reason()) : answer;
    }

    /** Answers a call that another entry host has forwarded; does not forward it again. */
    CompletionStage<JobAnswer> answerForPeer(JobCall call) {
        Duration timeout = boundedTimeout(call);
        long deadlineNanos = clock.monotonicNanos() + timeout.toNanos();
        return withinTimeout(call, timeout, decide(new Request(call, deadlineNanos, false), 0));
    }

    /** Returns whether an answer is final, so that the call need not be forwarded to the leader. */
    private static boolean isFinal(JobAnswer answer) {
        return !(answer instanceof JobAnswer.Refused) && !(answer instanceof JobAnswer.Undecided);
    }

    /**
     * Forwards a call to the leader when the store refuses this host. If the leader does not answer, this host decides
     * the call again. The call is refused only when neither host may have stored anything.
     */
    private CompletionStage<JobAnswer> forwardToLeader(JobCall call, JobAnswer localAnswer, long deadlineNanos) {
        Optional<String> leader = otherLeader();
        Duration remaining = remaining(deadlineNanos);
        if (leader.isEmpty() || remaining.compareTo(ANSWER_TRANSIT_MARGIN) < 0) {
            return CompletableFuture.completedFuture(localAnswer);
        }
        JobCall forwarded = new JobCall(call.host(), call.path(), call.key(), remaining, call.action());
        return dependencies.schedulerClient().forward(leader.get(), forwarded).thenCompose(answer -> {
            telemetry.event(
                    EventCode.CALL_HANDED_OVER,
                    describe(call) + " holder=" + leader.get() + " answer="
                            + answer.map(found -> found.getClass().getSimpleName())
                                    .orElse("none"));
            if (answer.isEmpty()) {
                return decide(new Request(call, deadlineNanos, false), 0)
                        .thenCompose(second -> afterPossibleWrite(call, second, deadlineNanos));
            }
            return localAnswer instanceof JobAnswer.Undecided
                    ? afterPossibleWrite(call, answer.get(), deadlineNanos)
                    : CompletableFuture.completedFuture(answer.get());
        });
    }

    /**
     * Returns the answer to a call of which an earlier attempt may have taken effect. A later attempt that was rejected
     * decides nothing, as the configuration may have changed between the two.
     */
    private CompletionStage<JobAnswer> afterPossibleWrite(JobCall call, JobAnswer later, long deadlineNanos) {
        return switch (later) {
            case JobAnswer.Refused refused -> CompletableFuture.completedFuture(refusedToUndecided(refused));
            case JobAnswer.UnknownQueue unknown -> readOutcome(call, later, deadlineNanos);
            case JobAnswer.UnknownKey unknown -> readOutcome(call, later, deadlineNanos);
            case JobAnswer.Invalid invalid -> readOutcome(call, later, deadlineNanos);
            // Answers that tell the outcome, or that are undecided themselves.
            case JobAnswer.Accepted accepted -> CompletableFuture.completedFuture(later);
            case JobAnswer.Cancelled cancelled -> CompletableFuture.completedFuture(later);
            case JobAnswer.State state -> CompletableFuture.completedFuture(later);
            case JobAnswer.Pending pending -> CompletableFuture.completedFuture(later);
            case JobAnswer.UnknownJob unknown -> CompletableFuture.completedFuture(later);
            case JobAnswer.Undecided undecided -> CompletableFuture.completedFuture(later);
        };
    }

    /** Looks for the record that an earlier attempt may have stored, after a later attempt was rejected. */
    private CompletionStage<JobAnswer> readOutcome(JobCall call, JobAnswer rejection, long deadlineNanos) {
        Optional<String> id = jobId(call);
        JobAnswer undecided = new JobAnswer.Undecided("an earlier attempt may have taken effect");
        return switch (call.action()) {
            case JobCall.Query query -> CompletableFuture.completedFuture(rejection);
            case JobCall.Submit submit ->
                id.map(found -> readAcceptance(call, found, rejection, deadlineNanos))
                        .orElse(CompletableFuture.completedFuture(undecided));
            case JobCall.Cancel cancel ->
                id.map(this::readState)
                        .orElse(CompletableFuture.completedFuture(Optional.empty()))
                        .thenApply(state ->
                                state.filter(JobState::isFinal).isPresent() ? new JobAnswer.Cancelled() : undecided);
        };
    }

    /** Returns the job identifier that ends a call's path; the queue before it may have been removed. */
    private static Optional<String> jobId(JobCall call) {
        int start = call.path().length() - JOB_ID_LENGTH;
        return Optional.of(call.path())
                .filter(path -> start >= 0)
                .map(path -> path.substring(start))
                .filter(id -> JOB_ID.matcher(id).matches());
    }

    /** Returns the state of a job as this host or the leader knows it; empty when neither does. */
    private CompletionStage<Optional<JobState>> readState(String id) {
        Optional<JobState> known =
                directory.finalState(id).or(() -> node.scheduler().flatMap(s -> s.jobState(id)));
        Optional<String> leader = otherLeader();
        return known.isPresent() || leader.isEmpty()
                ? CompletableFuture.completedFuture(known)
                : dependencies.schedulerClient().queryState(leader.get(), id);
    }

    /**
     * Decides a submission of which an earlier attempt may have stored the job. Without a record, the rejection is final
     * once the configuration that admitted the earlier attempt has been replaced: the attempt compares its revision.
     */
    private CompletionStage<JobAnswer> readAcceptance(
            JobCall call, String id, JobAnswer rejection, long deadlineNanos) {
        JobAnswer undecided = new JobAnswer.Undecided("an earlier attempt may have stored the job");
        if (directory.contains(id)) {
            return CompletableFuture.completedFuture(new JobAnswer.Accepted());
        }
        long readFromNanos = clock.monotonicNanos();
        return readState(id).thenCompose(state -> {
            if (state.isPresent()) {
                return CompletableFuture.completedFuture(new JobAnswer.Accepted());
            }
            return jobConfiguration.refresh().thenCompose(done -> {
                boolean replaced = jobConfiguration.snapshot().stream()
                        .anyMatch(snapshot -> snapshot.confirmedNanos() >= readFromNanos
                                && !isAdmitted(call, snapshot.configuration()));
                return intake.find(id, remaining(deadlineNanos), true)
                        .thenApply(result -> result.fold(error -> undecided, entry -> {
                            if (entry.isPresent()) {
                                return new JobAnswer.Accepted();
                            }
                            return replaced ? rejection : undecided;
                        }));
            });
        });
    }

    private CompletionStage<JobAnswer> withinTimeout(
            JobCall call, Duration timeout, CompletionStage<JobAnswer> decided) {
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        Completions.thenAcceptOrLog(decided, telemetry, "call", answer::complete);
        if (!answer.isDone()) {
            dependencies.timers().schedule(timeout, () -> {
                if (answer.complete(timeoutAnswer(call))) {
                    telemetry.event(
                            EventCode.CALL_TIMED_OUT,
                            describe(call) + " timeoutMs=" + timeout.toMillis() + " " + describeConfiguration());
                }
            });
        }
        return answer;
    }

    /**
     * A call to decide.
     *
     * @param deadlineNanos monotonic time by which the call has to be decided, ns
     * @param mayForward whether the call can be forwarded to another host if the store refuses this one
     */
    private record Request(JobCall call, long deadlineNanos, boolean mayForward) {}

    private static String describe(JobCall call) {
        String action = switch (call.action()) {
            case JobCall.Query query -> "query";
            case JobCall.Submit submit -> "submit";
            case JobCall.Cancel cancel -> "cancel";
        };
        return action + " path=" + call.path();
    }

    /** Describes the version and age of the configuration for log events. */
    private String describeConfiguration() {
        return jobConfiguration
                .snapshot()
                .map(snapshot -> "configuration=" + snapshot.configuration().version() + " ageMs="
                        + (clock.monotonicNanos() - snapshot.confirmedNanos()) / 1_000_000)
                .orElse("configuration=none");
    }

    private JobAnswer logNotAdmitted(JobCall call, JobAnswer answer) {
        telemetry.event(
                EventCode.CALL_NOT_ADMITTED,
                describe(call) + " answer=" + answer.getClass().getSimpleName() + " " + describeConfiguration());
        return answer;
    }

    /** Returns the answer after a timeout: undecided for a write, which may have taken effect. */
    private static JobAnswer timeoutAnswer(JobCall call) {
        return switch (call.action()) {
            case JobCall.Query query -> new JobAnswer.Refused("no answer of the store in time", RETRY_AFTER);
            case JobCall.Submit submit -> new JobAnswer.Undecided("no answer of the store in time");
            case JobCall.Cancel cancel -> new JobAnswer.Undecided("no answer of the store in time");
        };
    }

    private static Duration boundedTimeout(JobCall call) {
        Duration timeout = call.timeout().minus(ANSWER_TRANSIT_MARGIN);
        return timeout.compareTo(MAX_TIMEOUT) < 0 ? timeout : MAX_TIMEOUT;
    }

    private Duration remaining(long deadlineNanos) {
        return Duration.ofNanos(Math.max(0, deadlineNanos - clock.monotonicNanos()));
    }

    private CompletionStage<JobAnswer> decide(Request request, int rereads) {
        JobCall call = request.call();
        if (jobConfiguration.snapshot().isEmpty()) {
            return refused("no configuration has been read yet");
        }
        JobConfigurationSnapshot snapshot = jobConfiguration.snapshot().get();
        Optional<JobQueue> queue = findQueue(call, snapshot.configuration());
        Optional<JobTeam> team = call.key().flatMap(snapshot.configuration()::findTeamByKey);
        if (!isAdmitted(call, snapshot.configuration())) {
            Supplier<JobAnswer> answer = queue.isEmpty() ? JobAnswer.UnknownQueue::new : JobAnswer.UnknownKey::new;
            return answerNegative(request, rereads, answer);
        }
        String id = call.path().substring(queue.get().pathPrefix().length());
        boolean readsJob = !(call.action() instanceof JobCall.Submit);
        if (readsJob && !queue.get().open() && !jobConfiguration.confirmedWithin(dependencies.keyAge())) {
            return rereadAndDecide(request, rereads, "configuration is too old to trust the key");
        }
        if (id.isEmpty() && call.action() instanceof JobCall.Query) {
            return queryPending(queue.get());
        }
        if (!JOB_ID.matcher(id).matches()) {
            return CompletableFuture.completedFuture(
                    new JobAnswer.Invalid("a job's identifier has 16 hexadecimal digits"));
        }
        return switch (call.action()) {
            case JobCall.Submit submit -> submit(request, rereads, snapshot, queue.get(), team, id, submit);
            case JobCall.Query query -> query(id, request);
            case JobCall.Cancel cancel -> cancel(id, request);
        };
    }

    private static Optional<JobQueue> findQueue(JobCall call, JobConfiguration configuration) {
        return JobQueue.findByPath(configuration.queues().values(), call.host(), call.path());
    }

    /** Returns whether a call names a queue and, if the queue is not open, the key of a team. */
    private static boolean isAdmitted(JobCall call, JobConfiguration configuration) {
        return findQueue(call, configuration)
                .filter(queue -> queue.open()
                        || call.key().flatMap(configuration::findTeamByKey).isPresent())
                .isPresent();
    }

    private CompletionStage<JobAnswer> answerNegative(Request request, int rereads, Supplier<JobAnswer> answer) {
        if (jobConfiguration.confirmedWithin(NEGATIVE_ANSWER_MAX_AGE)
                || rereads > 0 && jobConfiguration.confirmedWithin(REREAD_NEGATIVE_ANSWER_MAX_AGE)) {
            return CompletableFuture.completedFuture(logNotAdmitted(request.call(), answer.get()));
        }
        return rereadAndDecide(request, rereads, "configuration is too old to say that a queue or key is missing");
    }

    private CompletionStage<JobAnswer> rereadAndDecide(Request request, int rereads, String reason) {
        if (rereads >= MAX_CONFIGURATION_REREADS
                || remaining(request.deadlineNanos()).isZero()) {
            return refused(reason);
        }
        return jobConfiguration.refresh().thenCompose(done -> decide(request, rereads + 1));
    }

    private CompletionStage<JobAnswer> refused(String reason) {
        return CompletableFuture.completedFuture(new JobAnswer.Refused(reason, RETRY_AFTER));
    }

    private CompletionStage<JobAnswer> submit(
            Request request,
            int rereads,
            JobConfigurationSnapshot snapshot,
            JobQueue queue,
            Optional<JobTeam> team,
            String id,
            JobCall.Submit submit) {
        if (directory.contains(id)) {
            return answerKnownJob(request, rereads, queue);
        }
        JobSubmission submission = new JobSubmission(
                id,
                queue.name(),
                team.map(JobTeam::name).orElse(""),
                submit.spec(),
                submit.steps(),
                submit.recurrence().orElse(null),
                clock.millis());
        Duration remaining = remaining(request.deadlineNanos());
        return intake.submit(submission, snapshot.revision(), remaining, request.mayForward())
                .thenCompose(result -> switch (result) {
                    case JobIntake.Stored stored -> onStored(submission, stored.revision());
                    case JobIntake.ConfigurationChanged changed ->
                        rereadAndDecide(request, rereads, "configuration keeps changing");
                    case JobIntake.NotStored notStored -> {
                        telemetry.count(CounterCode.JOBS_REFUSED, "store");
                        telemetry.event(EventCode.JOB_REFUSED, "job=" + id + " store: " + notStored.reason());
                        yield refused("the store did not take the job: " + notStored.reason());
                    }
                    case JobIntake.JobNotFound notFound -> refused("not stored");
                    case JobIntake.Undecided undecided -> {
                        telemetry.event(EventCode.JOB_UNDECIDED, "job=" + id + " " + undecided.reason());
                        yield CompletableFuture.completedFuture(new JobAnswer.Undecided(undecided.reason()));
                    }
                });
    }

    /** Answers the repeated submission of a stored job, for which no write checks that the key is still valid. */
    private CompletionStage<JobAnswer> answerKnownJob(Request request, int rereads, JobQueue queue) {
        if (queue.open() || jobConfiguration.confirmedWithin(dependencies.keyAge())) {
            return CompletableFuture.completedFuture(new JobAnswer.Accepted());
        }
        return request.mayForward()
                ? refused("configuration is too old to trust the key")
                : rereadAndDecide(request, rereads, "configuration is too old to trust the key");
    }

    private CompletionStage<JobAnswer> onStored(JobSubmission submission, long revision) {
        telemetry.count(CounterCode.JOBS_ACCEPTED, submission.queue());
        telemetry.event(
                EventCode.JOB_ACCEPTED,
                "job=" + submission.id() + " queue=" + submission.queue() + " team=" + submission.team() + " steps="
                        + submission.steps().stream().map(StepSpec::summary).toList());
        directory.addAccepted(submission, revision);
        otherLeader().ifPresent(leader -> dependencies.schedulerClient().notifyAccepted(leader, submission, revision));
        return CompletableFuture.completedFuture(new JobAnswer.Accepted());
    }

    private Optional<String> otherLeader() {
        return directory.leader().filter(leader -> !leader.equals(dependencies.address()));
    }

    private CompletionStage<JobAnswer> cancel(String id, Request request) {
        return intake.cancel(id, remaining(request.deadlineNanos()), request.mayForward())
                .thenApply(result -> switch (result) {
                    case JobIntake.Stored stored -> {
                        if (directory.finalState(id).isEmpty()) {
                            telemetry.event(EventCode.JOB_CANCELLED, "job=" + id);
                        }
                        directory.addCancelled(id);
                        otherLeader()
                                .ifPresent(
                                        leader -> dependencies.schedulerClient().notifyCancelled(leader, id));
                        yield new JobAnswer.Cancelled();
                    }
                    case JobIntake.JobNotFound notFound -> new JobAnswer.UnknownJob();
                    case JobIntake.NotStored notStored -> new JobAnswer.Refused(notStored.reason(), RETRY_AFTER);
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
        Optional<String> leader = otherLeader();
        if (leader.isEmpty()) {
            return queryStore(id, request);
        }
        return dependencies.schedulerClient().queryState(leader.get(), id).thenCompose(state -> {
            if (state.isPresent()) {
                return CompletableFuture.completedFuture(new JobAnswer.State(state.get()));
            }
            return queryStore(id, request);
        });
    }

    private CompletionStage<JobAnswer> queryStore(String id, Request request) {
        if (directory.contains(id)) {
            return CompletableFuture.completedFuture(new JobAnswer.State(JobState.QUEUED));
        }
        return intake.find(id, remaining(request.deadlineNanos()), request.mayForward())
                .thenApply(result -> result.fold(
                        error -> new JobAnswer.Refused(error.detail(), RETRY_AFTER),
                        entry ->
                                entry.isPresent() ? new JobAnswer.State(JobState.QUEUED) : new JobAnswer.UnknownJob()));
    }

    private CompletionStage<JobAnswer> queryPending(JobQueue queue) {
        Optional<JobScheduler> localScheduler = node.scheduler();
        if (localScheduler.isPresent()) {
            return CompletableFuture.completedFuture(
                    new JobAnswer.Pending(localScheduler.get().pendingJobs(queue.name())));
        }
        Optional<String> leader = otherLeader();
        if (leader.isEmpty()) {
            return CompletableFuture.completedFuture(new JobAnswer.Pending(directory.unfinishedCount(queue.name())));
        }
        return dependencies
                .schedulerClient()
                .queryPendingJobs(leader.get(), queue.name())
                .thenApply(
                        count -> new JobAnswer.Pending(count.orElseGet(() -> directory.unfinishedCount(queue.name()))));
    }
}
