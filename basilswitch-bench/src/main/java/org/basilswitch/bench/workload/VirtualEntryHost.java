package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.admission.FleetUsage;
import org.basilswitch.dispatch.BackgroundPreemptor;
import org.basilswitch.dispatch.Broker;
import org.basilswitch.dispatch.BrokerContext;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.dispatch.RequestClaims;
import org.basilswitch.limit.TeamLimits;
import org.basilswitch.membership.Member;
import org.basilswitch.membership.ServingLease;
import org.basilswitch.peer.PeerMessage.TeamUsage;
import org.basilswitch.placement.LiveHosts;

/**
 * Simulated entry host: the broker of the core, with usage reports to its peers that arrive after the delay between
 * their zones. Serving lease, team limits and claims always permit the work.
 */
final class VirtualEntryHost implements ServingLease, TeamLimits, RequestClaims {
    private final VirtualFleet fleet;
    private final Member member;
    private final List<Member> members;
    private final UniformRandomProvider random;
    private final FleetUsage usage;
    private final RequestBroker broker;

    VirtualEntryHost(
            VirtualFleet fleet, Member member, List<Member> members, Variant variant, UniformRandomProvider random) {
        this.fleet = fleet;
        this.member = member;
        this.members = members;
        this.random = random;
        this.usage = FleetUsage.create(fleet.time());
        List<Member> visibleMembers = variant.reports() ? members : List.of(member);
        this.broker = Broker.create(new BrokerContext(
                member,
                () -> visibleMembers,
                fleet::configuration,
                this,
                this,
                this,
                usage,
                LiveHosts.unknown(),
                BackgroundPreemptor.none(),
                variant.shares(),
                variant.placement(),
                fleet.time(),
                fleet.time(),
                fleet.time(),
                random,
                fleet.counters()));
    }

    void startUsageReports() {
        double phase = random.nextDouble();
        Duration first = Duration.ofNanos(
                (long) (phase * fleet.spec().heartbeatInterval().toNanos()));
        fleet.time().schedule(first, this::sendUsageReports);
    }

    private void sendUsageReports() {
        for (Member peer : members) {
            if (peer != member) {
                List<TeamUsage> changes = usage.changesFor(peer.id());
                Duration delay = fleet.delay(member.zone(), peer.zone());
                fleet.time()
                        .schedule(delay, () -> fleet.entryHost(peer.id()).usage.record(member.id(), changes));
            }
        }
        fleet.time().schedule(fleet.spec().heartbeatInterval(), this::sendUsageReports);
    }

    Member member() {
        return member;
    }

    RequestBroker broker() {
        return broker;
    }

    long reportBytes() {
        return usage.sentBytes();
    }

    @Override
    public boolean mayStartWork() {
        return true;
    }

    @Override
    public Duration remaining() {
        return Duration.ofDays(1);
    }

    @Override
    public boolean tryAcquire(String team) {
        return true;
    }

    @Override
    public void release(String team) {
        // limits are not simulated
    }

    @Override
    public void onAvailable(Consumer<String> listener) {
        // no caller has to wait for units
    }

    @Override
    public int allottedUnits(String team) {
        return Integer.MAX_VALUE;
    }

    @Override
    public CompletionStage<ClaimResult> claim(
            String queue, String idempotencyKey, Duration claimTime, Duration timeout) {
        return CompletableFuture.completedFuture(new Granted());
    }

    @Override
    public void release(String queue, String idempotencyKey) {
        // claims are not stored
    }
}
