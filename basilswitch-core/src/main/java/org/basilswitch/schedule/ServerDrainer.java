package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;

import org.basilswitch.job.JobConfiguration;

/** Drains backend servers without making more items of a long-running step unavailable than it allows. */
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

    /** Returns whether a host is in the standby pool. */
    boolean isStandbyHost(HostControl.PlatformHost host) {
        return configuration()
                .standbyPool()
                .filter(pool -> pool.name().equals(host.pool()))
                .isPresent();
    }

    /** Returns the tracked backend server of a host, if it is listed. */
    Optional<TrackedServer> serverOf(String host) {
        return hostOperations
                .find(host)
                .flatMap(HostControl.PlatformHost::serverId)
                .flatMap(runRegistry::listedServer);
    }

    /** Returns the cost of draining a host; hosts with a lower cost are drained sooner. */
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

    /**
     * Stops long-running work on a host so that it moves to other servers; returns whether the host has no runs left.
     */
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

    /** Describes for logs what keeps a host from being drained. */
    String describe(String host) {
        Optional<HostControl.PlatformHost> platformHost = hostOperations.find(host);
        Optional<TrackedServer> tracked = serverOf(host);
        if (platformHost.isEmpty()) {
            return "not listed";
        }
        if (tracked.isEmpty()) {
            return platformHost.get().state() + " pool=" + platformHost.get().pool() + " without server";
        }
        List<Run> runs = tracked.get().runs();
        List<Run> longRunning =
                runs.stream().filter(run -> run.item().spec().longRunning()).toList();
        long interruptible =
                longRunning.stream().filter(ServerDrainer::mayInterrupt).count();
        return platformHost.get().state() + " runs=" + runs.size() + " longRunning=" + longRunning.size()
                + " interruptible=" + interruptible;
    }

    /**
     * Returns whether the other work items of the run's step that are unavailable for any reason are fewer than the
     * step allows.
     */
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
