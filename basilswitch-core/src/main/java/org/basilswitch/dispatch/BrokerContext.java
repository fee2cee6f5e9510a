package org.basilswitch.dispatch;

import java.util.List;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.admission.FleetUsage;
import org.basilswitch.admission.SharePolicy;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.Telemetry;
import org.basilswitch.limit.TeamLimits;
import org.basilswitch.membership.Member;
import org.basilswitch.membership.ServingLease;
import org.basilswitch.placement.LiveHosts;
import org.basilswitch.placement.PlacementPolicy;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Dependencies of a {@link Broker}.
 *
 * @param self this entry host
 * @param members the entry hosts of the members record, including this one
 * @param configuration the configuration in force
 * @param servingLease states whether this host may start work
 * @param limits this host's allotments of the teams' upper limits
 * @param claims fleet-wide claims of idempotency keys
 * @param usage usage of the pools across the fleet
 * @param liveHosts the platform's list of hosts
 * @param backgroundPreemptor frees capacity for urgent requests
 * @param sharePolicy order in which waiting requests of different teams start
 * @param placementPolicy choice of the backend server
 * @param clock measures what the servers do with this host's requests; must not run ahead of real time
 * @param holderClock measures how long requests may be sent; must not fall behind real time
 * @param scheduler timers of the event loop
 * @param random random number generator
 * @param telemetry log events and counters
 */
public record BrokerContext(
        Member self,
        Supplier<List<Member>> members,
        Supplier<SiteConfiguration> configuration,
        ServingLease servingLease,
        TeamLimits limits,
        RequestClaims claims,
        FleetUsage usage,
        LiveHosts liveHosts,
        BackgroundPreemptor backgroundPreemptor,
        SharePolicy sharePolicy,
        PlacementPolicy placementPolicy,
        Clock clock,
        Clock holderClock,
        Scheduler scheduler,
        UniformRandomProvider random,
        Telemetry telemetry) {}
