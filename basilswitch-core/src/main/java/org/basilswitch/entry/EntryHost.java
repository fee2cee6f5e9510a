package org.basilswitch.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
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
import org.basilswitch.membership.Member;
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
    private final EntryHostOptions options;
    private final ConfigurationFollower follower;
    private final RequestBroker broker;

    private EntryHost(EntryHostOptions options, ConfigurationFollower follower, RequestBroker broker) {
        this.options = options;
        this.follower = follower;
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
        SingleHost alone = new SingleHost(follower::current);
        RequestBroker broker = Broker.create(new BrokerParts(
                options.self(),
                () -> List.of(options.self()),
                follower::current,
                alone,
                alone,
                alone,
                FleetUsage.create(clock),
                LiveHosts.unknown(),
                BackgroundWork.none(),
                new SharePolicy.Weighted(),
                Placement.standard(),
                clock,
                scheduler,
                random,
                telemetry));
        return new EntryHost(options, follower, broker);
    }

    /** Reads the configuration and joins the members. */
    public void start() {
        follower.start();
    }

    /** Handles a peer's message. */
    public void receive(MemberId from, PeerMessage message) {}

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
        return follower.loaded();
    }

    /** This host. */
    public Member self() {
        return options.self();
    }

    /** The entry hosts of the members record, this one included. */
    public List<Member> members() {
        return List.of(options.self());
    }

    /** Stops accepting requests, completes those accepted, and leaves the members record. */
    public CompletionStage<Void> leave() {
        broker.drain();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public void close() {
        follower.close();
    }
}
