package org.basilswitch.fleet;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.peer.MemberId;

/**
 * The controller of one pool: drains hosts and returns them to service, runs waves, detects hosts that are down, and
 * lends or returns hosts.
 *
 * <p>One entry host at a time is the leader and controls the pool. Only a pool's own controller moves hosts out of the
 * pool. All state is in the store, so that a new leader continues where the previous one stopped.
 */
public final class PoolController implements AutoCloseable {
    private final FleetContext context;
    private final String pool;
    private final LeaderElector leaderElector;
    private final HostLifecycleController lifecycleController;
    private final WaveRunner waves;
    private final HostLender lender;
    private final DownDetector downDetector;
    private boolean closed;
    private boolean wasLeader;
    private long nextListNanos = Long.MIN_VALUE;

    private PoolController(FleetContext context, String pool, MemberId self, PoolDemand demand) {
        this.context = context;
        this.pool = pool;
        this.leaderElector = LeaderElector.create(
                context.keys().leadership("pool-" + pool),
                self,
                context.clock(),
                context.scheduler(),
                context.store(),
                context.telemetry(),
                context.options().leaderLease(),
                Duration.ZERO);
        this.lifecycleController = new HostLifecycleController(context, leaderElector);
        this.waves = new WaveRunner(context, lifecycleController, pool);
        this.lender = new HostLender(context, lifecycleController, pool, demand);
        this.downDetector = new DownDetector(context.options().missingListsThreshold());
    }

    /**
     * Creates a controller that campaigns for the pool's leadership once started.
     *
     * @param context collaborators and options
     * @param pool the pool
     * @param self this entry host
     * @param demand demand of all pools across the fleet
     */
    public static PoolController create(FleetContext context, String pool, MemberId self, PoolDemand demand) {
        return new PoolController(context, pool, self, demand);
    }

    /** Starts campaigning after a delay, which is longer for less preferred members. */
    public void start(Duration delay) {
        leaderElector.start(delay);
        context.scheduler().schedule(context.options().tickInterval(), this::tick);
    }

    /** Returns whether this entry host controls the pool now. */
    public boolean isLeader() {
        return leaderElector.isLeader();
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (leaderElector.isLeader()) {
            control(context.configuration().get());
        } else if (wasLeader) {
            lifecycleController.reset();
        }
        wasLeader = leaderElector.isLeader();
        context.scheduler().schedule(context.options().tickInterval(), this::tick);
    }

    private void control(SiteConfiguration view) {
        for (Host host : view.hostsOf(pool)) {
            if (host.state() != HostState.ACTIVE) {
                lifecycleController.advance(host);
            }
        }
        waves.run(view);
        lender.run(view);
        readLiveHosts();
    }

    private void readLiveHosts() {
        long nowNanos = context.clock().monotonicNanos();
        if (nowNanos < nextListNanos) {
            return;
        }
        nextListNanos = nowNanos + context.options().listInterval().toNanos();
        context.workers().liveHosts().thenAccept(result -> result.peek(this::probeMissingHosts));
    }

    private void probeMissingHosts(WorkerPlatform.LiveHostList list) {
        if (!leaderElector.isLeader()) {
            return;
        }
        for (Host host : downDetector.findSuspects(context.configuration().get().hostsOf(pool), list)) {
            context.workers().usage(host).thenAccept(usage -> {
                boolean healthy = usage.map(WorkerPlatform.HostUsage::healthy).getOrElse(false);
                if (!healthy && leaderElector.isLeader()) {
                    currentlyActive(host).ifPresent(lifecycleController::markDown);
                }
            });
        }
    }

    private Optional<Host> currentlyActive(Host host) {
        return Optional.ofNullable(context.configuration().get().hosts().get(host.name()))
                .filter(current -> current.state() == HostState.ACTIVE
                        && current.pool().equals(pool)
                        && !lifecycleController.isBusy(current));
    }

    @Override
    public void close() {
        closed = true;
        leaderElector.close();
    }
}
