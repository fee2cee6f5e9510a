package org.basilswitch.intake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.StepSpec;
import org.basilswitch.overload.AdmissionPolicy;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.OverloadGate;
import org.basilswitch.overload.ReturningJob;
import org.basilswitch.overload.Verdict;
import org.basilswitch.schedule.JobConfigurationSnapshot;
import org.basilswitch.schedule.JobScheduler;
import org.basilswitch.time.Clock;

/** Answers calls from the configuration, the store and the scheduler. */
public final class JobService {
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
    /** Time since the store last served this host up to which it can tell that a job is not stored. */
    private static final Duration REFUSAL_MAX_STORE_AGE = Duration.ofMillis(1500);
    /** Bound of the configuration reads for one call, in case the configuration keeps changing. */
    private static final int MAX_CONFIGURATION_REREADS = 4;

    private static final String KEY_NOT_TRUSTED = "configuration is too old to trust the key";

    private final JobNode node;
    private final JobNode.Dependencies dependencies;
    private final Clock clock;
    private final JobConfigurationFollower jobConfiguration;
    private final JobIntake intake;
    private final JobDirectory directory;
    private final JobStateLookup states;
    private final WriteOutcomes writeOutcomes;
    private final OverloadGate overloadGate;
    private final Telemetry telemetry;
    /** Revision of the newest configuration that callers of this host have been answered by, through the leader. */
    private long shownRevision;

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
        this.overloadGate = OverloadGate.create(clock, telemetry);
        this.states = new JobStateLookup(node, directory, dependencies.schedulerClient(), dependencies.address());
        this.writeOutcomes = new WriteOutcomes(clock, jobConfiguration, intake, directory, states, telemetry);
    }

    /** Returns the latest configuration, which holds the limits of requests; empty until one has been read. */
    public Optional<JobConfigurationSnapshot> jobConfiguration() {
        return jobConfiguration.snapshot();
    }

    /** Returns the longest wait of a pool as this host last heard, from any thread; zero without an overload. */
    public Duration longestWait() {
        return overloadGate.longestWait();
    }

    /** Answers a call of a caller; forwards it to the leader when this host can't decide it. */
    public CompletionStage<JobAnswer> answer(JobCall call) {
        Duration timeout = boundedTimeout(call);
        long deadlineNanos = clock.monotonicNanos() + timeout.toNanos();
        CompletionStage<JobAnswer> decided = decideOrForward(request(call, deadlineNanos, true))
                .thenApply(answer -> isSubmissionOfStoredJob(call) ? WriteOutcomes.refusedToUndecided(answer) : answer);
        return withinTimeout(call, timeout, decided);
    }

    /** Returns a request that was received now and may be forwarded to another leader. */
    private Request request(JobCall call, long deadlineNanos, boolean mayTurnAway) {
        boolean keyTrusted = jobConfiguration.confirmedWithin(dependencies.keyAge());
        return new Request(call, deadlineNanos, keyTrusted, states.otherLeader().isPresent(), mayTurnAway);
    }

    private CompletionStage<JobAnswer> decideOrForward(Request request) {
        return decide(request, 0)
                .thenCompose(localAnswer -> isFinal(localAnswer)
                        ? CompletableFuture.completedFuture(localAnswer)
                        : forwardToLeader(request, localAnswer));
    }

    /** Returns whether a call submits a job that is stored, so that a refusal would deny a job that runs. */
    private boolean isSubmissionOfStoredJob(JobCall call) {
        return call.action() instanceof JobCall.Submit
                && call.jobId().filter(directory::contains).isPresent();
    }

    /**
     * Answers a call that another entry host has forwarded. It is forwarded again only by a former leader that the store
     * turns away, to the host that it has handed over to: the other host may be turned away as well, and not know that one.
     */
    CompletionStage<ForwardedAnswer> answerForPeer(JobCall call) {
        Duration timeout = boundedTimeout(call);
        long deadlineNanos = clock.monotonicNanos() + timeout.toNanos();
        CompletionStage<JobAnswer> decided = directory.hasHandedOver()
                ? decideOrForward(request(call, deadlineNanos, false))
                : decide(request(call, deadlineNanos, false).withoutForwarding(), 0);
        return withinTimeout(call, timeout, decided).thenApply(answer -> new ForwardedAnswer(answer, newestRevision()));
    }

    /** Returns the revision of the newest configuration that an answer of this host may be decided by. */
    private long newestRevision() {
        long own = jobConfiguration
                .snapshot()
                .map(JobConfigurationSnapshot::revision)
                .orElse(0L);
        return Math.max(own, shownRevision);
    }

    /** Returns whether an answer is final, so that the call need not be forwarded to the leader. */
    private static boolean isFinal(JobAnswer answer) {
        return !(answer instanceof JobAnswer.Refused) && !(answer instanceof JobAnswer.Undecided);
    }

    /**
     * Forwards a call to the leader when the store refuses this host. If the leader does not answer, this host decides
     * the call again. The call is refused only when neither host may have stored anything.
     */
    private CompletionStage<JobAnswer> forwardToLeader(Request request, JobAnswer localAnswer) {
        Optional<String> leader = states.otherLeader();
        Duration remaining = remaining(request.deadlineNanos());
        if (leader.isEmpty() || remaining.compareTo(ANSWER_TRANSIT_MARGIN) < 0) {
            return CompletableFuture.completedFuture(localAnswer);
        }
        JobCall call = request.call();
        JobCall forwarded = new JobCall(call.host(), call.path(), call.key(), remaining, call.action());
        return dependencies.schedulerClient().forward(leader.get(), forwarded).thenCompose(reply -> {
            reply.ifPresent(found -> shownRevision = Math.max(shownRevision, found.configurationRevision()));
            Optional<JobAnswer> answer = reply.map(ForwardedAnswer::answer);
            telemetry.event(
                    EventCode.CALL_HANDED_OVER,
                    call.describe() + " holder=" + leader.get() + " answer="
                            + answer.map(found -> found.getClass().getSimpleName())
                                    .orElse("none"));
            if (answer.isEmpty()) {
                return decide(request.withoutForwarding(), 0).thenCompose(second -> findOutcome(request, second));
            }
            return localAnswer instanceof JobAnswer.Undecided
                    ? findOutcome(request, answer.get())
                    : CompletableFuture.completedFuture(answer.get());
        });
    }

    private CompletionStage<JobAnswer> findOutcome(Request request, JobAnswer later) {
        return writeOutcomes.answer(request.call(), later, request.deadlineNanos(), request.keyTrusted());
    }

    private CompletionStage<JobAnswer> withinTimeout(
            JobCall call, Duration timeout, CompletionStage<JobAnswer> decided) {
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        Completions.thenAcceptOrLog(decided, telemetry, "call", answer::complete);
        if (!answer.isDone()) {
            dependencies.timers().schedule(timeout, () -> {
                if (answer.complete(timeoutAnswer(call))) {
                    if (call.action() instanceof JobCall.Submit) {
                        call.jobId().ifPresent(this::onUndecided);
                    }
                    telemetry.event(
                            EventCode.CALL_TIMED_OUT,
                            call.describe() + " timeoutMs=" + timeout.toMillis() + " " + describeConfiguration());
                }
            });
        }
        return answer;
    }

    /**
     * A call to decide.
     *
     * @param deadlineNanos monotonic time by which the call has to be decided, ns
     * @param keyTrusted whether this host's configuration was recent enough to trust the key when the call arrived
     * @param mayForward whether the call can be forwarded to another host if the store refuses this one
     * @param mayTurnAway whether no host may have stored the job on behalf of this call
     */
    private record Request(
            JobCall call, long deadlineNanos, boolean keyTrusted, boolean mayForward, boolean mayTurnAway) {

        private Request withoutForwarding() {
            return new Request(call, deadlineNanos, keyTrusted, false, false);
        }
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
                call.describe() + " answer=" + answer.getClass().getSimpleName() + " " + describeConfiguration());
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
        if (snapshot.revision() < shownRevision) {
            // The leader has the newer configuration; reading it here first would delay the answer.
            return request.mayForward() || rereads > 0
                    ? refused("configuration is older than one that callers have been answered by")
                    : jobConfiguration.refresh().thenCompose(done -> decide(request, 1));
        }
        Admission admission = Admission.of(call, snapshot.configuration());
        Optional<JobQueue> queue = admission.queue();
        if (!admission.isGranted()) {
            Supplier<JobAnswer> answer = queue.isEmpty() ? JobAnswer.UnknownQueue::new : JobAnswer.UnknownKey::new;
            return answerNegative(request, rereads, answer);
        }
        String id = call.path().substring(queue.get().pathPrefix().length());
        // The commit of a new job compares the configuration's revision, which checks the key.
        boolean checkedByCommit = call.action() instanceof JobCall.Submit && !directory.contains(id);
        if (!queue.get().open() && !jobConfiguration.confirmedWithin(dependencies.keyAge())) {
            if (request.mayForward()) {
                return refused(KEY_NOT_TRUSTED);
            }
            if (!checkedByCommit) {
                return rereadAndDecide(request, rereads, KEY_NOT_TRUSTED);
            }
        }
        if (id.isEmpty() && call.action() instanceof JobCall.Query) {
            return queryPending(queue.get());
        }
        if (!JobCall.isJobId(id)) {
            return CompletableFuture.completedFuture(
                    new JobAnswer.Invalid("a job's identifier has 16 hexadecimal digits"));
        }
        return switch (call.action()) {
            case JobCall.Submit submit -> submit(request, rereads, snapshot, admission, id, submit);
            case JobCall.Query query -> query(id, request);
            case JobCall.Cancel cancel -> cancel(id, request);
        };
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
            Admission admission,
            String id,
            JobCall.Submit submit) {
        JobQueue queue = admission.queue().orElseThrow();
        if (directory.contains(id)) {
            return answerKnownJob(request, rereads, queue);
        }
        JobSubmission submission = new JobSubmission(
                id,
                queue.name(),
                admission.team().map(JobTeam::name).orElse(""),
                submit.spec(),
                submit.steps(),
                submit.recurrence().orElse(null),
                clock.millis());
        boolean mayTurnAway = request.mayTurnAway()
                && rereads == 0
                && submission.recurrence() == null
                && jobConfiguration.confirmedWithin(REFUSAL_MAX_STORE_AGE);
        if (mayTurnAway) {
            Verdict verdict = overloadGate.decide(
                    new AdmissionPolicy.Candidate(id, queue, submission.team(), submission.steps()),
                    directory.leader(),
                    node.scheduler().flatMap(s -> s.exchangeOutlook(overloadGate.takeUnreported())));
            if (verdict instanceof Verdict.TurnedAway turnedAway) {
                states.otherLeader().filter(leader -> overloadGate.shouldAsk()).ifPresent(this::exchangeOutlook);
                return turnAway(request, rereads, snapshot, queue, submission, turnedAway);
            }
        }
        return store(request, rereads, snapshot, submission);
    }

    /** Turns a job away unless it is stored: the directory may lag behind another host that has stored it. */
    private CompletionStage<JobAnswer> turnAway(
            Request request,
            int rereads,
            JobConfigurationSnapshot snapshot,
            JobQueue queue,
            JobSubmission submission,
            Verdict.TurnedAway verdict) {
        return intake.find(submission.id(), remaining(request.deadlineNanos()), true)
                .thenCompose(found -> {
                    if (found.isLeft()) {
                        return store(request, rereads, snapshot, submission);
                    }
                    return found.get().isPresent()
                            ? answerKnownJob(request, rereads, queue)
                            : CompletableFuture.completedFuture(
                                    new JobAnswer.Overloaded("no room in time", verdict.retryAfter()));
                });
    }

    private CompletionStage<JobAnswer> store(
            Request request, int rereads, JobConfigurationSnapshot snapshot, JobSubmission submission) {
        String id = submission.id();
        overloadGate.onStoring(id);
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
                        onUndecided(id);
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
        return request.mayForward() ? refused(KEY_NOT_TRUSTED) : rereadAndDecide(request, rereads, KEY_NOT_TRUSTED);
    }

    /** Has no host turn away a job that may be stored. */
    private void onUndecided(String id) {
        overloadGate.onUndecided(id);
        states.otherLeader().ifPresent(this::exchangeOutlook);
    }

    private CompletionStage<JobAnswer> onStored(JobSubmission submission, long revision) {
        telemetry.count(CounterCode.JOBS_ACCEPTED, submission.queue());
        telemetry.event(
                EventCode.JOB_ACCEPTED,
                "job=" + submission.id() + " queue=" + submission.queue() + " team=" + submission.team() + " steps="
                        + submission.steps().stream().map(StepSpec::summary).toList());
        directory.addAccepted(submission, revision);
        states.otherLeader().ifPresent(leader -> notifyAccepted(leader, submission, revision));
        return CompletableFuture.completedFuture(new JobAnswer.Accepted());
    }

    private void notifyAccepted(String leader, JobSubmission submission, long revision) {
        List<ReturningJob> returningJobs = overloadGate.takeUnreported();
        awaitOutlook(
                leader, dependencies.schedulerClient().notifyAccepted(leader, submission, revision, returningJobs));
    }

    private void exchangeOutlook(String leader) {
        List<ReturningJob> returningJobs = overloadGate.takeUnreported();
        awaitOutlook(leader, dependencies.schedulerClient().exchangeOutlook(leader, returningJobs));
    }

    private void awaitOutlook(String leader, CompletionStage<Optional<Outlook>> answer) {
        long askedNanos = clock.monotonicNanos();
        Completions.thenAcceptOrLog(
                answer,
                telemetry,
                "outlook of the leader",
                outlook -> outlook.ifPresent(found -> overloadGate.onOutlook(leader, found, askedNanos)));
    }

    private CompletionStage<JobAnswer> cancel(String id, Request request) {
        return intake.cancel(id, remaining(request.deadlineNanos()), request.mayForward())
                .thenApply(result -> switch (result) {
                    case JobIntake.Stored stored -> {
                        if (directory.finalState(id).isEmpty()) {
                            telemetry.event(EventCode.JOB_CANCELLED, "job=" + id);
                        }
                        directory.addCancelled(id);
                        states.otherLeader()
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
        return states.find(id)
                .thenCompose(state -> state.isPresent()
                        ? CompletableFuture.completedFuture(new JobAnswer.State(state.get()))
                        : queryStore(id, request));
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
        Optional<String> leader = states.otherLeader();
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
