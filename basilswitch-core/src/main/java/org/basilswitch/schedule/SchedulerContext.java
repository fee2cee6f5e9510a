package org.basilswitch.schedule;

import java.util.function.Supplier;

import org.basilswitch.evacuation.EvacuationFollower;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.UnsteppedWallClock;

/**
 * Dependencies of a job scheduler.
 *
 * @param holderClock clock whose monotonic time never lags behind real time, as it includes suspensions; for the end of
 *     what this host holds and for the age of what it knows
 * @param steadyClock clock whose monotonic time never runs ahead of real time; for waiting until the end of what others
 *     hold, such as the leases of runs that an earlier leader started
 * @param plannedTime wall clock for work that must not begin before its time
 * @param timers timers of the event loop
 * @param store key-value store
 * @param keys key layout of the store
 * @param serverCommands client for commands to backend servers
 * @param adviceService client of the advice service
 * @param configuration supplier of the newest job configuration
 * @param liveServers list of live backend servers
 * @param evacuations availability zones that take no new work
 * @param hostControl client for commands to hosts
 * @param waveStore reader and writer of maintenance waves
 * @param telemetry receiver of events and counts
 * @param options timeouts and limits
 */
public record SchedulerContext(
        Clock holderClock,
        Clock steadyClock,
        UnsteppedWallClock plannedTime,
        Scheduler timers,
        PlatformStore store,
        StoreKeys keys,
        ServerCommands serverCommands,
        AdviceService adviceService,
        Supplier<JobConfigurationSnapshot> configuration,
        LiveServers liveServers,
        EvacuationFollower evacuations,
        HostControl hostControl,
        WaveStore waveStore,
        Telemetry telemetry,
        SchedulerOptions options) {}
