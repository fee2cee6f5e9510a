package org.basilswitch.fleet;

import java.time.Instant;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.configuration.Host;

/** What the platform offers for its worker hosts. */
public interface WorkerPlatform {

    /** Reads a host's latest usage report. */
    CompletionStage<Either<Failure, HostUsage>> usage(Host host);

    /**
     * Reboots a host unless it has been rebooted since.
     *
     * @param host the host
     * @param bootId the boot to end; a host with another boot identifier ignores the call
     * @return whether the host accepted the call
     */
    CompletionStage<Either<Failure, Boolean>> reboot(Host host, String bootId);

    /** Reads the lagging list of live and leaving hosts. */
    CompletionStage<Either<Failure, LiveHostList>> liveHosts();

    /**
     * A usage report, measured some time before it is read.
     *
     * @param measuredAt wall-clock time of the measurement
     * @param bootId identifier of the host's current boot
     * @param runningTasks tasks running
     * @param healthy whether the host passes its own health check
     */
    record HostUsage(Instant measuredAt, String bootId, int runningTasks, boolean healthy) {}

    /** Hosts by name, as the platform last saw them. */
    record LiveHostList(Instant measuredAt, Set<String> live, Set<String> leaving) {
        /** Copies the sets. */
        public LiveHostList {
            live = Set.copyOf(live);
            leaving = Set.copyOf(leaving);
        }
    }

    /** Why a call gave no answer. */
    enum Failure {
        UNREACHABLE,
        TIMEOUT,
        REFUSED
    }
}
