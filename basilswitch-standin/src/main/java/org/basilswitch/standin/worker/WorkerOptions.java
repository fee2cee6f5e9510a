package org.basilswitch.standin.worker;

import java.time.Duration;

/**
 * What a stand-in worker is told at start.
 *
 * @param name name of the host
 * @param port loopback port; 0 takes a free one
 * @param slots requests run at a time
 * @param connections most open connections
 * @param serviceTime time taken for a request that does not state one
 * @param rebootTime time for which a reboot takes the host out
 */
public record WorkerOptions(
        String name, int port, int slots, int connections, ServiceTime serviceTime, Duration rebootTime) {
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final Duration REBOOT_TIME = Duration.ofSeconds(5);
    private static final double MEAN_SERVICE_MS = 20;

    /** A worker of the usual shape on a free port. */
    public static WorkerOptions of(String name) {
        return new WorkerOptions(
                name, 0, SLOTS, CONNECTIONS, new ServiceTime.Exponential(MEAN_SERVICE_MS), REBOOT_TIME);
    }

    /** Returns these options with another port. */
    public WorkerOptions withPort(int next) {
        return new WorkerOptions(name, next, slots, connections, serviceTime, rebootTime);
    }

    /** Returns these options with other numbers of slots and connections. */
    public WorkerOptions withSlots(int nextSlots, int nextConnections) {
        return new WorkerOptions(name, port, nextSlots, nextConnections, serviceTime, rebootTime);
    }

    /** Returns these options with another service time. */
    public WorkerOptions withServiceTime(ServiceTime next) {
        return new WorkerOptions(name, port, slots, connections, next, rebootTime);
    }

    /** Returns these options with another reboot time. */
    public WorkerOptions withRebootTime(Duration next) {
        return new WorkerOptions(name, port, slots, connections, serviceTime, next);
    }
}
