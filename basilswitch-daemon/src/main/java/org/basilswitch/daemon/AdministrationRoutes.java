package org.basilswitch.daemon;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Routes that are added to an entry host's administration port. */
@FunctionalInterface
public interface AdministrationRoutes {

    /** Adds the routes to a router; called once, on the entry host's event loop. */
    void mount(Router router, Dependencies dependencies);

    /** Returns an instance that adds no routes. */
    static AdministrationRoutes none() {
        return (router, dependencies) -> {};
    }

    /** Dependencies of the routes' handlers. */
    record Dependencies(
            Vertx vertx,
            EntryHost host,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry,
            DaemonOptions options) {}
}
