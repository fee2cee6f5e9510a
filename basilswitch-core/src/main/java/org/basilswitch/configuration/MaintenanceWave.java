package org.basilswitch.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A maintenance wave, which reboots hosts of one or more pools.
 *
 * @param name unique name
 * @param hosts hosts to reboot, by name
 * @param done hosts that have been rebooted and have returned, by name
 * @param phase phase of the wave
 * @param maxConcurrentHosts maximum number of the wave's hosts that are out of service at the same time
 * @param haltReason reason why the wave was halted; empty when it is not halted
 */
public record MaintenanceWave(
        String name, List<String> hosts, List<String> done, Phase phase, int maxConcurrentHosts, String haltReason)
        implements ConfigurationRecord {

    /** Makes immutable copies of the lists. */
    public MaintenanceWave {
        hosts = List.copyOf(hosts);
        done = List.copyOf(done);
    }

    /** Returns the wave with a host added to {@code done}; the same instance when the host is already there. */
    public MaintenanceWave withDone(String host) {
        if (done.contains(host)) {
            return this;
        }
        List<String> more = new ArrayList<>(done);
        more.add(host);
        return new MaintenanceWave(name, hosts, more, phase, maxConcurrentHosts, haltReason);
    }

    /** Returns a copy of the wave in another phase and with another halt reason. */
    public MaintenanceWave withPhase(Phase next, String reason) {
        return new MaintenanceWave(name, hosts, done, next, maxConcurrentHosts, reason);
    }

    /** Phases of a wave. */
    public enum Phase {
        PLANNED,
        RUNNING,
        PAUSED,
        HALTED,
        ABORTED,
        COMPLETED
    }
}
