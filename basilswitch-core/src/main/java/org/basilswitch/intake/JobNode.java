package org.basilswitch.intake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.basilswitch.evacuation.EvacuationFollower;
import org.basilswitch.evacuation.EvacuationOptions;
import org.basilswitch.event.ClockJumps;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.LeaderElector;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.ReturningJob;
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
import org.basilswitch.time.UnsteppedWallClock;

/** The job service of one entry host: answers callers and runs the scheduler while this host is the leader. */
public final class JobNode implements AutoCloseable, JobDirectory.Listener {
    /** Longest age of the configuration at which this host reports ready; beyond it, callers use other hosts. */
    private static final Duration READY_MAX_CONFIGURATION_AGE = Duration.ofMillis(2800);

    /** Interval at which a new leader checks whether the first configuration has been read. */
    private static final Duration FIRST_CONFIGURATION_POLL_INTERVAL = Duration.ofMillis(20);

    private final Dependencies dependencies;
    private final Clock clock;
    private final UnsteppedWallClock plannedTime;
    private final JobDirectory directory;
    private final JobConfigurationFollower configurationFollower;
    private final LeaderElector leaderElector;
    private final LiveServers servers;
    private final EvacuationFollower evacuations;
    private final JobService service;
    private final LeadershipHandover handover;
    private Optional<JobScheduler> scheduler = Optional.empty();
    private boolean leaving;

    /**
     * The collaborators and options of a node.
     *
     * @param address address at which other entry hosts reach this one; stored as the value of the leadership record
     * @param configurationKey store key of the configuration record
     * @param configurationDecoder decoder of the configuration record
     * @param evacuation options of the evacuation of zones; empty for a deployment without it
     * @param keyAge longest age of the configuration at which an API key is trusted by a call that stores no job
     * @param candidacyDelay delay before this host campaigns for a vacant leadership, so that larger hosts come first
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
            Optional<EvacuationOptions> evacuation,
            SchedulerClient schedulerClient,
            Telemetry telemetry,
            SchedulerOptions options,
            Duration keyAge,
            Duration candidacyDelay) {}

    private JobNode(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = SuspendAwareClock.of(dependencies.clock(), ClockJumps.reportTo(dependencies.telemetry()));
        this.plannedTime = UnsteppedWallClock.of(dependencies.clock());
        this.configurationFollower = JobConfigurationFollower.start(
                dependencies.store(),
                dependencies.configurationKey(),
                dependencies.configurationDecoder(),
                clock,
                dependencies.timers(),
                dependencies.telemetry());
        this.servers = LiveServers.create(
                clock, dependencies.timers(), dependencies.serverRegistry(), dependencies.telemetry());
        this.evacuations = EvacuationFollower.create(
                clock, dependencies.timers(), dependencies.telemetry(), dependencies.evacuation());
        this.leaderElector = LeaderElector.create(
                dependencies.keys().schedulerLeadership(),
                new MemberId(dependencies.address()),
                clock,
                dependencies.timers(),
                dependencies.store(),
                dependencies.telemetry(),
                dependencies.options().leaderLease(),
                dependencies.candidacyDelay());
        JobIntake intake = JobIntake.create(
                dependencies.store(),
                dependencies.keys(),
                dependencies.configurationKey(),
                clock,
                dependencies.timers());
        this.directory = JobDirectory.open(
                dependencies.store(), dependencies.keys(), dependencies.timers(), dependencies.telemetry(), this);
        this.handover = new LeadershipHandover(
                dependencies, clock, leaderElector, this::stopScheduling, directory::onHandedOver);
        this.service = new JobService(this, dependencies, clock, configurationFollower, intake, directory);
    }

    /** Creates a node that follows the store and campaigns for the scheduler's leadership. */
    public static JobNode start(Dependencies dependencies) {
        JobNode node = new JobNode(dependencies);
        node.leaderElector.onChange(node::onLeadershipChange);
        node.leaderElector.start(Duration.ZERO);
        node.handover.start();
        return node;
    }

    private void stopScheduling() {
        scheduler.ifPresent(JobScheduler::close);
        scheduler = Optional.empty();
    }

    private void onLeadershipChange() {
        stopScheduling();
        if (leaderElector.fencingToken() != 0 && !leaving) {
            startScheduling(leaderElector.fencingToken());
        }
    }

    /** Starts the scheduler as soon as a configuration has been read, unless the leadership is lost before. */
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
                dependencies.clock(),
                plannedTime,
                dependencies.timers(),
                dependencies.store(),
                dependencies.keys(),
                dependencies.serverCommands(),
                dependencies.adviceService(),
                () -> configurationFollower.snapshot().orElseThrow(),
                servers,
                evacuations,
                dependencies.hosts(),
                dependencies.waveStore(),
                dependencies.telemetry(),
                leaderElector.replacedLeader() ? dependencies.options().afterHandover() : dependencies.options());
        scheduler = Optional.of(
                JobScheduler.takeOver(context, fencingToken, leaderElector::isLeaderFor, leaderElector::stepDown));
    }

    @Override
    public void onAccepted(JobSubmission submission, long revision) {
        scheduler.ifPresent(s -> s.addJob(submission, revision));
    }

    @Override
    public void onDeleted(String id, long revision) {
        scheduler.ifPresent(s -> s.removeDeletedJob(id, revision));
    }

    @Override
    public void onCancelled(String id) {
        scheduler.ifPresent(s -> s.cancelJob(id));
    }

    @Override
    public void onLeaderChanged(Optional<String> leader) {
        if (leader.isEmpty() && !leaving) {
            leaderElector.campaignNow();
        }
    }

    /** Returns the service that answers callers. */
    public JobService service() {
        return service;
    }

    /** Returns the scheduler; empty unless this host is the leader and has read all jobs. */
    public Optional<JobScheduler> scheduler() {
        return scheduler.filter(JobScheduler::isLoaded);
    }

    /**
     * Handles the notification of another entry host that a job is stored under a revision.
     *
     * @param returningJobs jobs that the other host has turned away, or may have stored
     * @return outlook for new jobs; empty when this host is not the leader or has none
     */
    public Optional<Outlook> onPeerAccepted(JobSubmission submission, long revision, List<ReturningJob> returningJobs) {
        directory.addAccepted(submission, revision);
        return exchangeOutlook(returningJobs);
    }

    /**
     * Takes note of jobs that another entry host has turned away, or may have stored.
     *
     * @return outlook for new jobs; empty when this host is not the leader or has none
     */
    public Optional<Outlook> exchangeOutlook(List<ReturningJob> returningJobs) {
        return scheduler().flatMap(s -> s.exchangeOutlook(returningJobs));
    }

    /** Handles the notification of another entry host that a cancellation is stored. */
    public void onPeerCancelled(String id) {
        directory.addCancelled(id);
    }

    /** Records that a host which may take over the leadership has sent a message. */
    public void onCandidateSeen(String address) {
        handover.onCandidateSeen(address);
    }

    /** Returns whether the store answers this host and names the leadership with this fencing token. */
    public CompletionStage<Boolean> canTakeOver(long fencingToken) {
        return leaving ? CompletableFuture.completedFuture(false) : handover.canTakeOver(fencingToken);
    }

    /** Takes over the leadership from a leader that has stopped acting. */
    public void onHandover(long fencingToken) {
        if (!leaving) {
            handover.takeOver(fencingToken);
        }
    }

    /** Answers a call that another entry host forwards. */
    public CompletionStage<ForwardedAnswer> answerPeer(JobCall call) {
        return service.answerForPeer(call);
    }

    /** Returns the state of a job; empty when this host is not the leader or does not have the job. */
    public Optional<JobState> jobState(String id) {
        return scheduler().flatMap(s -> s.jobState(id));
    }

    /** Returns whether the load balancer should send callers to this host. */
    public boolean isReady() {
        return !leaving && directory.loaded() && configurationFollower.confirmedWithin(READY_MAX_CONFIGURATION_AGE);
    }

    /** Steps down and reports not ready; calls are still answered until the process ends. */
    public void leave() {
        leaving = true;
        dependencies.telemetry().event(EventCode.SHUTDOWN_STARTED, "address=" + dependencies.address());
        stopScheduling();
        handover.close();
        leaderElector.close();
    }

    @Override
    public void close() {
        leave();
        directory.close();
    }
}
