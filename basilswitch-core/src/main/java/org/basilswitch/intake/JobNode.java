package org.basilswitch.intake;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.DutyHolder;
import org.basilswitch.job.JobSite;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.peer.MemberId;
import org.basilswitch.schedule.Advice;
import org.basilswitch.schedule.HostControl;
import org.basilswitch.schedule.JobScheduler;
import org.basilswitch.schedule.LiveServers;
import org.basilswitch.schedule.SchedulerContext;
import org.basilswitch.schedule.SchedulerOptions;
import org.basilswitch.schedule.ServerList;
import org.basilswitch.schedule.ServerOrders;
import org.basilswitch.schedule.WaveRecords;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.SuspendAwareClock;

/** The jobs side of one entry host: accepts and answers calls, and schedules while it holds the duty. */
public final class JobNode implements AutoCloseable, JobDirectory.Listener {
    /** Without a confirmed configuration for this long, the host takes no new callers; they find others. */
    private static final Duration READY_AGE = Duration.ofMillis(2800);

    /** Interval at which a new holder of the duty looks for the first configuration. */
    private static final Duration SITE_WAIT = Duration.ofMillis(20);

    private final Parts parts;
    private final Clock clock;
    private final JobDirectory directory;
    private final SiteFollower site;
    private final DutyHolder duty;
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
    public record Parts(
            String address,
            Clock clock,
            Scheduler timers,
            PlatformStore store,
            StoreKeys keys,
            String siteKey,
            Function<byte[], Optional<JobSite>> siteDecoder,
            ServerList serverList,
            ServerOrders orders,
            Advice advice,
            HostControl hosts,
            WaveRecords waves,
            SchedulerLink link,
            Telemetry telemetry,
            SchedulerOptions options,
            Duration keyAge,
            Duration dutyDelay) {}

    private JobNode(Parts parts) {
        this.parts = parts;
        this.clock = SuspendAwareClock.over(parts.clock());
        this.site = SiteFollower.start(
                parts.store(), parts.siteKey(), parts.siteDecoder(), clock, parts.timers(), parts.telemetry());
        this.servers = LiveServers.create(clock, parts.timers(), parts.serverList(), parts.telemetry());
        this.duty = DutyHolder.create(
                parts.keys().schedulerDuty(),
                new MemberId(parts.address()),
                clock,
                parts.timers(),
                parts.store(),
                parts.telemetry(),
                parts.options().dutyLease());
        JobIntake intake = JobIntake.create(parts.store(), parts.keys(), parts.siteKey(), clock, parts.timers());
        this.directory = JobDirectory.open(parts.store(), parts.keys(), parts.timers(), parts.telemetry(), this);
        this.service = new JobService(this, parts, clock, site, intake, directory);
    }

    /** Starts a node: it follows the store and competes for the scheduler duty. */
    public static JobNode start(Parts parts) {
        JobNode node = new JobNode(parts);
        node.duty.onChange(node::onDutyChange);
        node.duty.start(parts.dutyDelay());
        return node;
    }

    private void onDutyChange() {
        scheduler.ifPresent(JobScheduler::close);
        scheduler = Optional.empty();
        if (duty.fence() != 0 && !leaving) {
            takeOver(duty.fence());
        }
    }

    /** Starts scheduling, once there is a configuration to schedule by. */
    private void takeOver(long fence) {
        if (leaving || duty.fence() != fence) {
            return;
        }
        if (site.view().isEmpty()) {
            parts.timers().schedule(SITE_WAIT, () -> takeOver(fence));
            return;
        }
        SchedulerContext context = new SchedulerContext(
                clock,
                parts.timers(),
                parts.store(),
                parts.keys(),
                parts.orders(),
                parts.advice(),
                () -> site.view().orElseThrow(),
                servers,
                parts.hosts(),
                parts.waves(),
                parts.telemetry(),
                parts.options());
        scheduler = Optional.of(JobScheduler.takeOver(context, fence, duty::heldFor, duty::release));
    }

    @Override
    public void onAccepted(JobSubmission submission) {
        scheduler.ifPresent(s -> s.accepted(submission));
    }

    @Override
    public void onCancelled(String id) {
        scheduler.ifPresent(s -> s.cancelled(id));
    }

    @Override
    public void onDutyHolder(Optional<String> holder) {
        if (holder.isEmpty() && !leaving) {
            parts.timers().schedule(parts.dutyDelay(), duty::onVacant);
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
    public void peerAccepted(JobSubmission submission) {
        directory.addAccepted(submission);
    }

    /** Takes a message of another entry host: a cancellation is stored. */
    public void peerCancelled(String id) {
        directory.addCancelled(id);
    }

    /** Answers a caller's call for another entry host. */
    public CompletionStage<JobAnswer> peerCall(JobCall call) {
        return service.answerForPeer(call);
    }

    /** State of a job for another entry host. */
    public Optional<JobState> peerState(String id) {
        return scheduler().flatMap(s -> s.state(id));
    }

    /** Whether callers should be sent here. */
    public boolean ready() {
        return !leaving && directory.loaded() && site.confirmedWithin(READY_AGE);
    }

    /** Gives up the duty and takes no new callers; calls are answered until the process ends. */
    public void leave() {
        leaving = true;
        parts.telemetry().event(EventCode.SHUTDOWN_STARTED, "address=" + parts.address());
        scheduler.ifPresent(JobScheduler::close);
        scheduler = Optional.empty();
        duty.close();
    }

    @Override
    public void close() {
        leave();
        directory.close();
    }
}
