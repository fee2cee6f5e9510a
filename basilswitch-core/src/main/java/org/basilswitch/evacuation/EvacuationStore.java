package org.basilswitch.evacuation;

import java.util.Set;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.StoreError;

/** Reads the operator's requests to evacuate availability zones. */
@FunctionalInterface
public interface EvacuationStore {

    /**
     * Reads the zones that are requested to take no new work. The answer holds every request that was acknowledged before
     * the call. The stage completes normally, on the event loop.
     */
    CompletionStage<Either<StoreError, Set<String>>> readZones();
}
