package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;

/** The operator's maintenance waves, and where their state is written. */
public interface WaveStore {

    /** Reads all waves. */
    CompletionStage<Either<StoreError, List<WaveRequest>>> readWaves();

    /** Adds the write of a wave's state to a transaction. */
    Transaction.Builder writeState(Transaction.Builder transaction, WaveRequest wave, boolean completed);

    /**
     * A wave.
     *
     * @param number its number
     * @param hosts hosts to maintain
     * @param duration time for the whole wave
     * @param mostDown most hosts of the wave that may be down for it at once
     * @param completed whether it has been reported as completed
     * @param reported whether its state has been reported at all
     */
    record WaveRequest(
            long number, List<String> hosts, Duration duration, int maxHostsDown, boolean completed, boolean reported) {
        /** Copies the list. */
        public WaveRequest {
            hosts = List.copyOf(hosts);
        }
    }
}
