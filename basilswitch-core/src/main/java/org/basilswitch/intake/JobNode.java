package org.basilswitch.intake;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.LeaderElector;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.peer.MemberId;
import org.basilswitch.schedule.AdviceService;
import org.basilswitch.schedule.HostControl;
import org.basilswitch.schedule.JobScheduler;
import org.basilswitch.schedule.LiveServers;
import org.basilswitch.schedule.SchedulerContext;
import org.basilswitch.schedule.SchedulerOptions;
import org.basilswitch.schedule.ServerCommands;
import org.basilswitch.schedule.ServerRegistry;
import org.basilswitch.schedule.WaveStore;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.SuspendAwareClock;

/** The jobs side of one entry host: accepts and answers calls, and schedules while it holds the duty. */
public final class JobNode implements AutoCloseable, JobDirectory.Listener {
    /** Without a confirmed configuration for this long, the host takes no new callers; they find others. */
    private static final Duration READY_MAX_CONFIGURATION_AGE = Duration.ofMillis(2800);

    /** Interval at which a new holder of the duty looks for the first configuration. */
    private static final Duration FIRST_CONFIGURATION_POLL_INTERVAL = Duration.ofMillis(20);

    private final Dependencies dependencies;
    private final Clock clock;
    private final JobDirectory directory;
    private final JobConfigurationFollower configurationFollower;
    private final LeaderElector leaderElector;
    private final LiveServers servers;
    private final JobService service;
    private Optional<JobScheduler> scheduler = Optional.empty();
    private boolean leaving;

    /**
     * What a node is made of.
     *
     * @param address address under which other entry hosts reach this one; the value of the duty's record
     * @param siteKey key of the configuration's record
     * @param siteDecoder decoder of that record
     * @param dutyDelay time by which this host lets others go first when the scheduler duty is vacant; small hosts wait
     */
    public record Dependencies(
            String address,
            Clock clock,
            Scheduler timers,
            PlatformStore store,
            StoreKeys keys,
            String configurationKey,
            Function<byte[], Optional<JobConfiguration>> configurationDecoder,
            ServerRegistry serverRegistry,
            ServerCommands serverCommands,
            AdviceService adviceService,
            HostControl hosts,
            WaveStore waveStore,
            SchedulerClient schedulerClient,
            Telemetry telemetry,
            SchedulerOptions options,
            Duration keyAge,
            Duration candidacyDelay) {}

    private JobNode(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = SuspendAwareClock.of(dependencies.clock());
        this.configurationFollower = JobConfigurationFollower.start(
                dependencies.store(),
                dependencies.configurationKey(),
                dependencies.configurationDecoder(),
                clock,
                dependencies.timers(),
                dependencies.telemetry());
        this.servers = LiveServers.create(
                clock, dependencies.timers(), dependencies.serverRegistry(), dependencies.telemetry());
        this.leaderElector = LeaderElector.create(
                dependencies.keys().schedulerLeadership(),
                new MemberId(dependencies.address()),
                clock,
                dependencies.timers(),
                dependencies.store(),
                dependencies.telemetry(),
                dependencies.options().leaderLease());
        JobIntake intake = JobIntake.create(
                dependencies.store(),
                dependencies.keys(),
                dependencies.configurationKey(),
                clock,
                dependencies.timers());
        this.directory = JobDirectory.open(
                dependencies.store(), dependencies.keys(), dependencies.timers(), dependencies.telemetry(), this);
        this.service = new JobService(this, dependencies, clock, configurationFollower, intake, directory);
    }

    /** Starts a node: it follows the store and competes for the scheduler duty. */
    public static JobNode start(Dependencies dependencies) {
        JobNode node = new JobNode(dependencies);
        node.leaderElector.onChange(node::onLeadershipChange);
        node.leaderElector.start(dependencies.candidacyDelay());
        return node;
    }

    private void onLeadershipChange() {
        scheduler.ifPresent(JobScheduler::close);
        scheduler = Optional.empty();
        if (leaderElector.fencingToken() != 0 && !leaving) {
            startScheduling(leaderElector.fencingToken());
        }
    }

    /** Starts scheduling, once there is a configuration to schedule by. */
    private void startScheduling(long fencingToken) {
        if (leaving || leaderElector.fencingToken() != fencingToken) {
            return;
        }
        if (configurationFollower.snapshot().isEmpty()) {
            dependencies.timers().schedule(FIRST_CONFIGURATION_POLL_INTERVAL, () -> startScheduling(fencingToken));
            return;
        }
        SchedulerContext context = new SchedulerContext(
                clock,
                dependencies.timers(),
                dependencies.store(),
                dependencies.keys(),
                dependencies.serverCommands(),
                dependencies.adviceService(),
                () -> configurationFollower.snapshot().orElseThrow(),
                servers,
                dependencies.hosts(),
                dependencies.waveStore(),
                dependencies.telemetry(),
                dependencies.options());
        scheduler = Optional.of(
                JobScheduler.takeOver(context, fencingToken, leaderElector::isLeaderFor, leaderElector::stepDown));
    }

    @Override
    public void onAccepted(JobSubmission submission) {
        scheduler.ifPresent(s -> s.addJob(submission));
    }

    @Override
    public void onCancelled(String id) {
        scheduler.ifPresent(s -> s.cancelJob(id));
    }

    @Override
    public void onLeaderChanged(Optional<String> leader) {
        if (leader.isEmpty() && !leaving) {
            dependencies.timers().schedule(dependencies.candidacyDelay(), leaderElector::campaignNow);
        }
    }

    /** Answers callers' calls. */
    public JobService service() {
        return service;
    }

    /** The scheduler, while this host holds the duty and has read the jobs. */
    public Optional<JobScheduler> scheduler() {
        return scheduler.filter(JobScheduler::loaded);
    }

    /** Takes a message of another entry host: a job is stored. */
    public void onPeerAccepted(JobSubmission submission) {
        directory.addAccepted(submission);
    }

    /** Takes a message of another entry host: a cancellation is stored. */
    public void onPeerCancelled(String id) {
        directory.addCancelled(id);
    }

    /** Answers a caller's call for another entry host. */
    public CompletionStage<JobAnswer> answerPeer(JobCall call) {
        return service.answerForPeer(call);
    }

    /** State of a job for another entry host. */
    public Optional<JobState> jobState(String id) {
        return scheduler().flatMap(s -> s.jobState(id));
    }

    /** Whether callers should be sent here. */
    public boolean ready() {
        return !leaving && directory.loaded() && configurationFollower.confirmedWithin(READY_MAX_CONFIGURATION_AGE);
    }

    /** Gives up the duty and takes no new callers; calls are answered until the process ends. */
    public void leave() {
        leaving = true;
        dependencies.telemetry().event(EventCode.SHUTDOWN_STARTED, "address=" + dependencies.address());
        scheduler.ifPresent(JobScheduler::close);
        scheduler = Optional.empty();
        leaderElector.close();
    }

    @Override
    public void close() {
        leave();
        directory.close();
    }
}
