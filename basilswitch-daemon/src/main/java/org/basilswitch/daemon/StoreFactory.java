package org.basilswitch.daemon;

import io.vertx.core.Vertx;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Creates an entry host's client for the platform's store. */
@FunctionalInterface
public interface StoreFactory {

    /** Creates the client; called on the entry host's event loop, on which its results must be delivered. */
    PlatformStore create(Vertx vertx, Clock clock, Scheduler scheduler, Telemetry telemetry);
}
