package org.basilswitch.daemon.fleet;

import java.util.Optional;
import java.util.OptionalInt;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.basilswitch.daemon.livelist.LiveHostReader;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.CachingRevisionGate;
import org.basilswitch.fleet.FleetContext;
import org.basilswitch.fleet.FleetControllers;
import org.basilswitch.fleet.FleetOptions;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Runs the pool controllers that this entry host is a candidate for, and their client for the worker hosts. */
public final class FleetService implements AutoCloseable {
    private final HttpWorkerPlatform workers;
    private final FleetControllers controllers;

    private FleetService(HttpWorkerPlatform workers, FleetControllers controllers) {
        this.workers = workers;
        this.controllers = controllers;
    }

    /**
     * Dependencies of the controllers.
     *
     * @param vertx creates the client for the worker hosts
     * @param context event loop of the entry host
     * @param host the entry host
     * @param store the platform's store
     * @param clock wall clock and monotonic clock
     * @param scheduler timers on the event loop
     * @param telemetry events and counters
     * @param liveHostReader reader of the live-host list; empty when the site has none
     */
    public record Dependencies(
            Vertx vertx,
            Context context,
            EntryHost host,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry,
            Optional<LiveHostReader> liveHostReader) {}

    /** Starts competing for the leadership of the pools' controllers. */
    public static FleetService start(String site, FleetOptions options, Dependencies dependencies) {
        HttpWorkerPlatform workers = HttpWorkerPlatform.create(
                dependencies.vertx(),
                dependencies.context(),
                () -> dependencies.liveHostReader().flatMap(LiveHostReader::latest));
        FleetContext context = new FleetContext(
                options,
                new StoreKeys(site),
                dependencies.clock(),
                dependencies.scheduler(),
                dependencies.store(),
                workers,
                CachingRevisionGate.create(dependencies.host().inForceMonitor()),
                dependencies.host()::configuration,
                dependencies.telemetry());
        FleetControllers controllers = FleetControllers.create(
                context,
                dependencies.host().self().id(),
                dependencies.host()::members,
                pool -> demandSlots(dependencies.host(), pool));
        controllers.start();
        return new FleetService(workers, controllers);
    }

    private static OptionalInt demandSlots(EntryHost host, String pool) {
        return host.isReady() ? OptionalInt.of(host.demandSlots(pool)) : OptionalInt.empty();
    }

    /** Returns the controllers of the pools. */
    public FleetControllers controllers() {
        return controllers;
    }

    @Override
    public void close() {
        controllers.close();
        workers.close();
    }
}
