package org.basilswitch.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.admission.FleetUsage;
import org.basilswitch.admission.SharePolicy;
import org.basilswitch.claim.ClaimService;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.dispatch.Broker;
import org.basilswitch.dispatch.BrokerContext;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.event.ClockJumps;
import org.basilswitch.event.Telemetry;
import org.basilswitch.limit.AllotmentService;
import org.basilswitch.limit.TeamLimits;
import org.basilswitch.membership.InForceMonitor;
import org.basilswitch.membership.Member;
import org.basilswitch.membership.Membership;
import org.basilswitch.membership.PromiseTimes;
import org.basilswitch.membership.ServingLease;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerLink;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.placement.PlacementPolicy;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.SuspendAwareClock;

/** One entry host: its services connected to a store, peers, a clock and timers. All calls run on one event loop. */
public final class EntryHost implements AutoCloseable {
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final EntryHostOptions options;
    private final Scheduler scheduler;
    private final ConfigurationFollower follower;
    private final Membership membership;
    private final ClaimService claims;
    private final AllotmentService limits;
    private final FleetUsage usage;
    private final RequestBroker broker;
    private long lastMembersRevision;

    private EntryHost(
            EntryHostOptions options,
            Scheduler scheduler,
            ConfigurationFollower follower,
            Membership membership,
            ClaimService claims,
            AllotmentService limits,
            FleetUsage usage,
            RequestBroker broker) {
        this.options = options;
        this.scheduler = scheduler;
        this.follower = follower;
        this.membership = membership;
        this.claims = claims;
        this.limits = limits;
        this.usage = usage;
        this.broker = broker;
    }

    /** Creates an entry host; nothing happens until {@link #start}. */
    public static EntryHost create(
            EntryHostOptions options,
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            PlatformStore store,
            PeerLink peers,
            Telemetry telemetry) {
        return create(options, clock, scheduler, random, store, peers, EntryHostExtensions.defaults(), telemetry);
    }

    /** Creates an entry host with the site's live-host list and background preemptor. */
    public static EntryHost create(
            EntryHostOptions options,
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            PlatformStore store,
            PeerLink peers,
            EntryHostExtensions extensions,
            Telemetry telemetry) {
        StoreKeys keys = new StoreKeys(options.site());
        MemberId self = options.self().id();
        ConfigurationFollower follower = ConfigurationFollower.create(keys, store, scheduler, telemetry);
        Clock holderClock = SuspendAwareClock.of(clock, ClockJumps.reportTo(telemetry));
        Membership membership = Membership.create(
                new Membership.MembershipOptions(
                        options.self(),
                        keys,
                        PromiseTimes.of(options.promiseTime(), options.clockDriftRatio()),
                        options.heartbeatInterval()),
                clock,
                holderClock,
                scheduler,
                store,
                follower,
                peers,
                telemetry);
        ClaimService claims = ClaimService.create(
                self,
                keys,
                store,
                clock,
                scheduler,
                random,
                peers,
                () -> membership.view().members(),
                telemetry);
        AllotmentService limits = AllotmentService.create(
                self, keys, store, clock, scheduler, peers, membership, follower::current, telemetry);
        FleetUsage usage = FleetUsage.create(clock);
        membership.setUsageReports(usage);
        RequestBroker broker = Broker.create(new BrokerContext(
                options.self(),
                () -> membership.view().members(),
                follower::current,
                membership.leases(),
                limits,
                claims,
                usage,
                extensions.liveHosts(),
                extensions.backgroundPreemptor(),
                new SharePolicy.Weighted(),
                PlacementPolicy.defaultPolicy(),
                clock,
                holderClock,
                scheduler,
                random,
                telemetry));
        RequestBroker capped = new DeadlineCap(broker, follower::current);
        return new EntryHost(options, scheduler, follower, membership, claims, limits, usage, capped);
    }

    /** Reads the configuration and joins the members. */
    public void start() {
        membership.start();
        follower.onChange(configuration -> onConfigurationChanged());
        follower.start();
    }

    private void onConfigurationChanged() {
        if (membership.viewRevision() != lastMembersRevision) {
            lastMembersRevision = membership.viewRevision();
            claims.onMembersChanged();
            limits.onMembersChanged();
        }
        limits.onConfigurationChanged();
    }

    /** Handles a message from a peer. */
    public void receive(MemberId from, PeerMessage message) {
        boolean handled = membership.receive(from, message) || claims.receive(from, message);
        if (!handled) {
            limits.receive(from, message);
        }
    }

    /** Returns the broker that accepts requests. */
    public RequestBroker broker() {
        return broker;
    }

    /** Returns the configuration in force at this host. */
    public SiteConfiguration configuration() {
        return follower.current();
    }

    /** Returns whether the balancer may send callers to this host. */
    public boolean isReady() {
        return follower.isLoaded() && membership.leases().mayStartWork();
    }

    /** Returns the lease that states whether this host may start work now, and for how long. */
    public ServingLease servingLease() {
        return membership.leases();
    }

    /** Returns the monitor that reports when accepted changes are in force. */
    public InForceMonitor inForceMonitor() {
        return membership.inForceMonitor();
    }

    /** Returns this host's allotments of the teams' upper limits. */
    public TeamLimits limits() {
        return limits;
    }

    /**
     * Returns the number of slots that a pool's requests use or wait for across the fleet, as last reported to this
     * host.
     */
    public int demandSlots(String pool) {
        return usage.demandSlots(pool);
    }

    /** Returns this host's entry in the members record. */
    public Member self() {
        return options.self();
    }

    /** Returns the entry hosts of the members record, including this one once it has joined. */
    public List<Member> members() {
        return membership.view().members();
    }

    /**
     * Stops accepting requests, completes those accepted, returns this host's allotments and leaves the members record.
     */
    public CompletionStage<Void> leave() {
        broker.drain();
        return waitUntil(() -> broker.openRequests() == 0, Duration.ofDays(1))
                .thenCompose(drained -> {
                    limits.releaseAllUnits();
                    return waitUntil(limits::hasReleasedAllUnits, RELEASE_TIMEOUT);
                })
                .thenCompose(surrendered -> membership.leave(LEAVE_TIMEOUT))
                // Waits until requests that arrived in the meantime have been refused.
                .thenCompose(left -> waitUntil(() -> broker.openRequests() == 0, LEAVE_TIMEOUT));
    }

    private CompletableFuture<Void> waitUntil(BooleanSupplier condition, Duration timeout) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        scheduler.schedule(timeout, () -> result.complete(null));
        pollUntil(condition, result);
        return result;
    }

    private void pollUntil(BooleanSupplier condition, CompletableFuture<Void> result) {
        if (condition.getAsBoolean()) {
            result.complete(null);
        } else if (!result.isDone()) {
            scheduler.schedule(POLL_INTERVAL, () -> pollUntil(condition, result));
        }
    }

    @Override
    public void close() {
        claims.close();
        limits.close();
        membership.close();
        follower.close();
    }
}
