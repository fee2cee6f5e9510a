package org.basilswitch.fleet;

import java.util.function.Supplier;

import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * What the fleet's controllers work with.
 *
 * @param options times and bounds
 * @param keys key layout of the site
 * @param clock clock
 * @param scheduler timers
 * @param store the platform's store
 * @param workers the platform's worker hosts
 * @param gate tells which changes are in force
 * @param configuration the view in force at this host
 * @param telemetry events and counters
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

    /** Creates the changer of hosts. */
    HostChanger changer() {
        return HostChanger.create(keys, store, configuration);
    }
}
