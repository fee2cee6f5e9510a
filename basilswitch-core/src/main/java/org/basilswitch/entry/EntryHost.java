package org.basilswitch.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.admission.FleetUsage;
import org.basilswitch.admission.SharePolicy;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.dispatch.BackgroundWork;
import org.basilswitch.dispatch.Broker;
import org.basilswitch.dispatch.BrokerParts;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.InForce;
import org.basilswitch.membership.Member;
import org.basilswitch.membership.Membership;
import org.basilswitch.membership.PromiseTimes;
import org.basilswitch.membership.ServingAuthority;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerLink;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.placement.LiveHosts;
import org.basilswitch.placement.Placement;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** One entry host: its slices, wired to a store, peers, a clock and timers. All calls run on one event loop. */
public final class EntryHost implements AutoCloseable {
    private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(5);

    private final EntryHostOptions options;
    private final ConfigurationFollower follower;
    private final Membership membership;
    private final RequestBroker broker;

    private EntryHost(
            EntryHostOptions options, ConfigurationFollower follower, Membership membership, RequestBroker broker) {
        this.options = options;
        this.follower = follower;
        this.membership = membership;
        this.broker = broker;
    }

    /** Wires an entry host; nothing happens until {@link #start}. */
    public static EntryHost create(
            EntryHostOptions options,
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            PlatformStore store,
            PeerLink peers,
            Telemetry telemetry) {
        StoreKeys keys = new StoreKeys(options.site());
        ConfigurationFollower follower = ConfigurationFollower.create(keys, store, scheduler, telemetry);
        PromiseTimes times = PromiseTimes.of(options.promiseTime(), options.clockDriftRatio());
        Membership.Settings settings =
                new Membership.Settings(options.self(), keys, times, options.heartbeatInterval());
        Membership membership = Membership.create(settings, clock, scheduler, store, follower, peers, telemetry);
        SingleHost alone = new SingleHost(follower::current);
        FleetUsage usage = FleetUsage.create(clock);
        membership.reportUsage(usage);
        RequestBroker broker = Broker.create(new BrokerParts(
                options.self(),
                () -> membership.view().members(),
                follower::current,
                membership.leases(),
                alone,
                alone,
                usage,
                LiveHosts.unknown(),
                BackgroundWork.none(),
                new SharePolicy.Weighted(),
                Placement.standard(),
                clock,
                scheduler,
                random,
                telemetry));
        return new EntryHost(options, follower, membership, broker);
    }

    /** Reads the configuration and joins the members. */
    public void start() {
        membership.start();
        follower.start();
    }

    /** Handles a peer's message. */
    public void receive(MemberId from, PeerMessage message) {
        membership.receive(from, message);
    }

    /** The requests' entry point. */
    public RequestBroker broker() {
        return broker;
    }

    /** The configuration in force at this host. */
    public SiteConfiguration configuration() {
        return follower.current();
    }

    /** Whether the balancer may send callers here. */
    public boolean ready() {
        return follower.loaded() && membership.leases().mayStart();
    }

    /** Whether this host may start work now, and for how long. */
    public ServingAuthority authority() {
        return membership.leases();
    }

    /** Tells when accepted changes are in force. */
    public InForce inForce() {
        return membership.inForce();
    }

    /** This host. */
    public Member self() {
        return options.self();
    }

    /** The entry hosts of the members record, this one included once it has joined. */
    public List<Member> members() {
        return membership.view().members();
    }

    /** Stops accepting requests, completes those accepted, and leaves the members record. */
    public CompletionStage<Void> leave() {
        broker.drain();
        return membership.leave(LEAVE_TIMEOUT);
    }

    @Override
    public void close() {
        membership.close();
        follower.close();
    }
}
