package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;

import org.basilswitch.job.JobConfiguration;

/** Empties backend servers without making more of a long-running step unavailable than it allows. */
final class ServerDrainer {
    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final RunSupervisor runSupervisor;
    private final HostOperations hosts;

    ServerDrainer(SchedulerContext context, RunRegistry book, RunSupervisor keeper, HostOperations hosts) {
        this.context = context;
        this.runRegistry = book;
        this.runSupervisor = keeper;
        this.hosts = hosts;
    }

    private JobConfiguration configuration() {
        return context.configuration().get().configuration();
    }

    /** Whether a host is in the pool whose hosts are switched off. */
    boolean isStandby(HostControl.PlatformHost host) {
        return configuration()
                .standbyPool()
                .filter(pool -> pool.name().equals(host.pool()))
                .isPresent();
    }

    /** The state of a host's backend server. */
    Optional<TrackedServer> serverOf(String host) {
        return hosts.find(host).flatMap(HostControl.PlatformHost::serverId).flatMap(runRegistry::listed);
    }

    /** Work that has to end or move before a host is empty; lower is sooner empty. */
    double workOn(HostControl.PlatformHost host) {
        if (isStandby(host)) {
            return -1;
        }
        return serverOf(host.name())
                .map(state -> state.runs().stream()
                        .mapToDouble(run -> run.item().spec().longRunning() ? 3 : 1)
                        .sum())
                .orElse(0.0);
    }

    /** Moves long-running work off a host; returns whether nothing is left there. */
    boolean empty(String host) {
        Optional<HostControl.PlatformHost> view = hosts.find(host);
        if (view.isEmpty() || view.get().state() != HostControl.PlatformHostState.UP) {
            return false;
        }
        if (isStandby(view.get()) || view.get().serverId().isEmpty()) {
            return true;
        }
        Optional<TrackedServer> state = serverOf(host);
        if (state.isEmpty()) {
            return false;
        }
        List<Run> runs = state.get().runs();
        for (Run run : runs) {
            if (run.item().spec().longRunning() && !run.stopping() && mayInterrupt(run)) {
                runSupervisor.stop(run);
            }
        }
        return runs.isEmpty();
    }

    /** Whether few enough of the other work items of a step are away, by any cause. */
    static boolean mayInterrupt(Run run) {
        int bound = run.item().spec().maxUnavailable();
        int away = 0;
        for (WorkItem other : run.item().job().stepOf(run.id())) {
            boolean atWork = other.run()
                    .filter(r -> r.phase() == Run.Phase.RUNNING && !r.stopping() && r.percent() == 100)
                    .isPresent();
            if (other != run.item() && !atWork) {
                away++;
            }
        }
        return away < Math.max(1, bound);
    }
}
