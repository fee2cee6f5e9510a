package org.basilswitch.daemon;

import io.vertx.core.Vertx;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Creates the entry host's client of the platform's store. */
@FunctionalInterface
public interface StoreFactory {

    /** Creates the client; called on the entry host's event loop, on which its answers come too. */
    PlatformStore create(Vertx vertx, Clock clock, Scheduler scheduler, Telemetry telemetry);
}
