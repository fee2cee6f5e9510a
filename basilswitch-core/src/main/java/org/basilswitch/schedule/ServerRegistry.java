package org.basilswitch.schedule;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.StoreError;

/** Reads the list of live backend servers, up to date as of the call. */
public interface ServerRegistry {

    /** Reads all entries that name a usable server. */
    CompletionStage<Either<StoreError, List<BackendServer>>> read();
}
