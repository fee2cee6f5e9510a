package org.basilswitch.schedule;

import java.util.function.Supplier;

import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Dependencies of a job scheduler.
 *
 * @param clock clock whose monotonic time includes suspensions
 * @param timers timers of the event loop
 * @param store key-value store
 * @param keys key layout of the store
 * @param serverCommands client for commands to backend servers
 * @param adviceService client of the advice service
 * @param configuration supplier of the newest job configuration
 * @param liveServers list of live backend servers
 * @param hostControl client for commands to hosts
 * @param waveStore reader and writer of maintenance waves
 * @param telemetry receiver of events and counts
 * @param options timeouts and limits
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
