package org.basilswitch.daemon.fleet;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.fleet.WorkerPlatform;

/**
 * JSON body of a worker host's usage report.
 *
 * @param measuredAt UTC instant of the measurement
 * @param bootId identifier of the current boot
 * @param runningTasks requests and tasks running
 * @param healthy whether the host passes its own health check
 */
record HostDocument(String measuredAt, String bootId, int runningTasks, boolean healthy) {

    static Optional<WorkerPlatform.HostUsage> decode(byte[] bytes) {
        return RecordCodec.decode(bytes, HostDocument.class).flatMap(HostDocument::toUsage);
    }

    private Optional<WorkerPlatform.HostUsage> toUsage() {
        if (measuredAt == null || bootId == null || bootId.isEmpty() || runningTasks < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new WorkerPlatform.HostUsage(Instant.parse(measuredAt), bootId, runningTasks, healthy));
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }
}
