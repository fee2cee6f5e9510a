package org.basilswitch.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A maintenance wave over hosts of one or more pools.
 *
 * @param name unique name
 * @param hosts hosts to reboot, by name
 * @param done hosts that have been rebooted and have returned, by name
 * @param phase phase of the wave
 * @param maxConcurrentHosts most hosts of the wave out of service at a time
 * @param haltReason why the wave was halted; empty otherwise
 */
public record MaintenanceWave(
        String name, List<String> hosts, List<String> done, Phase phase, int maxConcurrentHosts, String haltReason)
        implements ConfigurationRecord {

    /** Copies the lists. */
    public MaintenanceWave {
        hosts = List.copyOf(hosts);
        done = List.copyOf(done);
    }

    /** Returns the wave with one more host maintained. */
    public MaintenanceWave withDone(String host) {
        if (done.contains(host)) {
            return this;
        }
        List<String> more = new ArrayList<>(done);
        more.add(host);
        return new MaintenanceWave(name, hosts, more, phase, maxConcurrentHosts, haltReason);
    }

    /** Returns the wave in another phase. */
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
