package org.basilswitch.schedule;

import java.util.function.Supplier;

import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * What a scheduler works with.
 *
 * @param clock clock whose monotonic time includes suspensions
 * @param timers timers of the event loop
 * @param store platform's store
 * @param keys key layout
 * @param orders orders to backend servers
 * @param advice advice service
 * @param site newest configuration
 * @param servers newest list of live servers
 * @param hosts interface for the hosts
 * @param waves maintenance waves
 * @param telemetry events and counts
 * @param options timeouts and bounds
 */
public record SchedulerContext(
        Clock clock,
        Scheduler timers,
        PlatformStore store,
        StoreKeys keys,
        ServerCommands serverCommands,
        AdviceService adviceService,
        Supplier<JobConfigurationSnapshot> configuration,
        LiveServers liveServers,
        HostControl hostControl,
        WaveStore waveStore,
        Telemetry telemetry,
        SchedulerOptions options) {}
