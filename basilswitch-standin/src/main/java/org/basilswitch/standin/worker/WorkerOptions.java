package org.basilswitch.standin.worker;

import java.time.Duration;

/**
 * Start options of a stand-in worker.
 *
 * @param name name of the host
 * @param port loopback port; 0 selects a free port
 * @param slots maximum number of concurrent requests
 * @param connections maximum number of open connections
 * @param serviceTime service time of requests that do not specify one
 * @param rebootTime time for which the host is down during a reboot
 */
public record WorkerOptions(
        String name, int port, int slots, int connections, ServiceTime serviceTime, Duration rebootTime) {
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final Duration REBOOT_TIME = Duration.ofSeconds(5);
    private static final double MEAN_SERVICE_MS = 20;

    /** Returns the default options on a free port: 8 slots, 64 connections, 20 ms mean service time, 5 s reboots. */
    public static WorkerOptions of(String name) {
        return new WorkerOptions(
                name, 0, SLOTS, CONNECTIONS, new ServiceTime.Exponential(MEAN_SERVICE_MS), REBOOT_TIME);
    }

    /** Returns these options with another port. */
    public WorkerOptions withPort(int next) {
        return new WorkerOptions(name, next, slots, connections, serviceTime, rebootTime);
    }

    /** Returns these options with other limits of concurrent requests and open connections. */
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
