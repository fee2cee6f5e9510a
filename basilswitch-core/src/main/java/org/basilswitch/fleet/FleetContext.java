package org.basilswitch.fleet;

import java.util.function.Supplier;

import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Collaborators and options of the fleet controllers.
 *
 * @param options times and limits
 * @param keys layout of the site's keys in the store
 * @param clock clock
 * @param scheduler timers
 * @param store store of the platform
 * @param workers platform interface for worker hosts
 * @param gate gate for the revisions that are in force at all entry hosts
 * @param configuration current configuration at this host
 * @param telemetry receiver of log events and counters
 */
public record FleetContext(
        FleetOptions options,
        StoreKeys keys,
        Clock clock,
        Scheduler scheduler,
        PlatformStore store,
        WorkerPlatform workers,
        RevisionGate gate,
        Supplier<SiteConfiguration> configuration,
        Telemetry telemetry) {

    /** Creates a {@link HostChanger} on this context's store and configuration. */
    HostChanger changer() {
        return HostChanger.create(keys, store, configuration);
    }
}
