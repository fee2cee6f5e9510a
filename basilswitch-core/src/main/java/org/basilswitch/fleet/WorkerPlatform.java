package org.basilswitch.fleet;

import java.time.Instant;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.configuration.Host;

/** The platform's interface for reading and rebooting worker hosts. */
public interface WorkerPlatform {

    /** Reads the latest usage report of a host. */
    CompletionStage<Either<Failure, HostUsage>> usage(Host host);

    /**
     * Reboots a host unless the given boot has already ended.
     *
     * @param host the host
     * @param bootId identifier of the boot to end; a host with another boot identifier ignores the call
     * @return whether the host accepted the call
     */
    CompletionStage<Either<Failure, Boolean>> reboot(Host host, String bootId);

    /** Reads the list of live and leaving hosts, which lags behind their actual state. */
    CompletionStage<Either<Failure, LiveHostList>> liveHosts();

    /**
     * A usage report, measured some time before it is read.
     *
     * @param measuredAt wall-clock time of the measurement
     * @param bootId identifier of the host's current boot
     * @param runningTasks number of running tasks
     * @param healthy whether the host passes its own health check
     */
    record HostUsage(Instant measuredAt, String bootId, int runningTasks, boolean healthy) {}

    /** The names of the hosts that the platform last observed as live or leaving. */
    record LiveHostList(Instant measuredAt, Set<String> live, Set<String> leaving) {
        /** Makes defensive copies of the sets. */
        public LiveHostList {
            live = Set.copyOf(live);
            leaving = Set.copyOf(leaving);
        }
    }

    /** The reason why a call failed. */
    enum Failure {
        UNREACHABLE,
        TIMEOUT,
        REFUSED
    }
}
