package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;

/** Reads the operator's maintenance waves and writes their state. */
public interface WaveStore {

    /** Reads all waves. */
    CompletionStage<Either<StoreError, List<WaveRequest>>> readWaves();

    /** Adds the write of a wave's state to a transaction. */
    Transaction.Builder writeState(Transaction.Builder transaction, WaveRequest wave, boolean completed);

    /**
     * A maintenance wave as requested by the operator.
     *
     * @param number number that identifies the wave
     * @param hosts names of the hosts to maintain
     * @param duration time allowed for the whole wave
     * @param maxHostsDown maximum number of the wave's hosts that may be down for maintenance at the same time
     * @param completed whether the wave has been reported as completed
     * @param reported whether any state of the wave has been reported
     */
    record WaveRequest(
            long number, List<String> hosts, Duration duration, int maxHostsDown, boolean completed, boolean reported) {
        /** Makes an immutable copy of the host list. */
        public WaveRequest {
            hosts = List.copyOf(hosts);
        }
    }
}
