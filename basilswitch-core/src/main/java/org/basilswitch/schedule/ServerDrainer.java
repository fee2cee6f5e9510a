package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;

import org.basilswitch.job.JobConfiguration;

/** Empties backend servers without making more of a long-running step unavailable than it allows. */
final class ServerDrainer {
    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final RunSupervisor runSupervisor;
    private final HostOperations hostOperations;

    ServerDrainer(
            SchedulerContext context,
            RunRegistry runRegistry,
            RunSupervisor runSupervisor,
            HostOperations hostOperations) {
        this.context = context;
        this.runRegistry = runRegistry;
        this.runSupervisor = runSupervisor;
        this.hostOperations = hostOperations;
    }

    private JobConfiguration configuration() {
        return context.configuration().get().configuration();
    }

    /** Whether a host is in the pool whose hosts are switched off. */
    boolean isStandbyHost(HostControl.PlatformHost host) {
        return configuration()
                .standbyPool()
                .filter(pool -> pool.name().equals(host.pool()))
                .isPresent();
    }

    /** The state of a host's backend server. */
    Optional<TrackedServer> serverOf(String host) {
        return hostOperations
                .find(host)
                .flatMap(HostControl.PlatformHost::serverId)
                .flatMap(runRegistry::listedServer);
    }

    /** Work that has to end or move before a host is empty; lower is sooner empty. */
    double drainCost(HostControl.PlatformHost host) {
        if (isStandbyHost(host)) {
            return -1;
        }
        return serverOf(host.name())
                .map(tracked -> tracked.runs().stream()
                        .mapToDouble(run -> run.item().spec().longRunning() ? 3 : 1)
                        .sum())
                .orElse(0.0);
    }

    /** Moves long-running work off a host; returns whether nothing is left there. */
    boolean drain(String host) {
        Optional<HostControl.PlatformHost> platformHost = hostOperations.find(host);
        if (platformHost.isEmpty() || platformHost.get().state() != HostControl.PlatformHostState.UP) {
            return false;
        }
        if (isStandbyHost(platformHost.get()) || platformHost.get().serverId().isEmpty()) {
            return true;
        }
        Optional<TrackedServer> tracked = serverOf(host);
        if (tracked.isEmpty()) {
            return false;
        }
        List<Run> runs = tracked.get().runs();
        for (Run run : runs) {
            if (run.item().spec().longRunning() && !run.isStopping() && mayInterrupt(run)) {
                runSupervisor.stop(run);
            }
        }
        return runs.isEmpty();
    }

    /** Whether few enough of the other work items of a step are away, by any cause. */
    static boolean mayInterrupt(Run run) {
        int maxUnavailable = run.item().spec().maxUnavailable();
        int unavailable = 0;
        for (WorkItem other : run.item().job().stepOf(run.id())) {
            boolean atWork = other.run()
                    .filter(r -> r.phase() == Run.Phase.RUNNING && !r.isStopping() && r.percent() == 100)
                    .isPresent();
            if (other != run.item() && !atWork) {
                unavailable++;
            }
        }
        return unavailable < Math.max(1, maxUnavailable);
    }
}
