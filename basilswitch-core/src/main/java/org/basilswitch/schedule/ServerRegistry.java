package org.basilswitch.schedule;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.StoreError;

/** Reader of the list of live backend servers. */
public interface ServerRegistry {

    /** Reads all entries that describe a usable server, as of the time of the call. */
    CompletionStage<Either<StoreError, List<BackendServer>>> read();
}
