package org.basilswitch.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;

import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.daemon.caller.CallerHttpServer;
import org.basilswitch.daemon.fleet.FleetService;
import org.basilswitch.daemon.livelist.LeavingReports;
import org.basilswitch.daemon.livelist.LiveHostReader;
import org.basilswitch.daemon.peer.FrameCodec;
import org.basilswitch.daemon.peer.PeerMeters;
import org.basilswitch.daemon.peer.PeerTransport;
import org.basilswitch.daemon.telemetry.DaemonMeter;
import org.basilswitch.daemon.telemetry.DaemonTelemetry;
import org.basilswitch.daemon.telemetry.MeteredStore;
import org.basilswitch.daemon.telemetry.Meters;
import org.basilswitch.daemon.telemetry.ProcessMeters;
import org.basilswitch.daemon.tls.TlsReloader;
import org.basilswitch.daemon.worker.TimingWheel;
import org.basilswitch.daemon.worker.WorkerClients;
import org.basilswitch.daemon.worker.WorkerExchange;
import org.basilswitch.dispatch.BackgroundPreemptor;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.entry.EntryHostExtensions;
import org.basilswitch.entry.EntryHostOptions;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.FleetOptions;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.placement.LiveHosts;
import org.basilswitch.store.PlatformStore;

/**
 * An entry host with its ports, running on one event loop.
 *
 * <p>Methods may be called from any thread.
 */
public final class EntryHostServer implements AutoCloseable {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final Vertx vertx;
    private final DaemonOptions options;
    private final Dependencies dependencies;
    private final SystemClock clock = SystemClock.create();
    private final Meters meters = Meters.create();
    private final Telemetry telemetry;
    private Context context;
    private TlsReloader tls;
    private PeerTransport peers;
    private WorkerClients workers;
    private TimingWheel timingWheel;
    private Optional<LiveHostReader> liveList = Optional.empty();
    private LeavingReports leavingReports;
    private EntryHost host;
    private FleetService fleet;
    private CallerHttpServer callers;
    private AdministrationHttpServer administration;
    private volatile boolean stopping;
    private volatile boolean hasBeenReady;
    private volatile boolean closed;
    private volatile String deploymentId;

    private EntryHostServer(Vertx vertx, DaemonOptions options, Dependencies dependencies) {
        this.vertx = vertx;
        this.options = options;
        this.dependencies = dependencies;
        this.telemetry = DaemonTelemetry.create(meters, clock, options.node());
    }

    /**
     * Dependencies of an entry host.
     *
     * @param store creates the client for the platform's store
     * @param codec codec of the peer protocol
     * @param routes routes of the administration interface
     */
    public record Dependencies(StoreFactory store, FrameCodec codec, AdministrationRoutes routes) {}

    /** Starts an entry host; the future completes when all ports listen and fails when one of them can't. */
    public static Future<EntryHostServer> start(Vertx vertx, DaemonOptions options, Dependencies dependencies) {
        EntryHostServer server = new EntryHostServer(vertx, options, dependencies);
        return vertx.deployVerticle(new Deployment(server)).map(server::withDeploymentId);
    }

    private EntryHostServer withDeploymentId(String id) {
        deploymentId = id;
        return this;
    }

    private Future<Void> open(Context eventLoop) {
        context = eventLoop;
        MemberId id = new MemberId(UUID.randomUUID().toString());
        tls = TlsReloader.create(vertx, telemetry, options.tlsCheckInterval());
        peers = PeerTransport.create(
                vertx, options.site(), id, dependencies.codec(), telemetry, PeerMeters.create(meters.registry()));
        ProcessMeters.register(meters.registry());
        return peers.listen(options.peerListen(), tls)
                .compose(listening -> openHost(id))
                .onSuccess(listening -> reportStarted())
                .onFailure(error -> telemetry.event(EventCode.START_FAILED, error.toString()));
    }

    private Future<Void> openHost(MemberId id) {
        VertxScheduler scheduler = VertxScheduler.create(vertx, context);
        PlatformStore store = MeteredStore.create(
                dependencies.store().create(vertx, clock, scheduler, telemetry), meters.registry(), clock);
        String peerAddress = options.peerListen().ip() + ":" + peers.actualPort();
        Member self = new Member(id, options.node(), peerAddress, options.zone());
        EntryHostOptions hostOptions = new EntryHostOptions(
                options.site(),
                self,
                options.peerTiming().promiseTime(),
                options.peerTiming().heartbeatInterval(),
                options.peerTiming().clockDriftRatio());
        liveList = options.workerOptions()
                .liveList()
                .map(listOptions -> LiveHostReader.start(vertx, context, clock, telemetry, listOptions));
        leavingReports =
                LeavingReports.create(liveList.<LiveHosts>map(list -> list).orElseGet(LiveHosts::unknown), clock);
        host = EntryHost.create(
                hostOptions,
                clock,
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(),
                store,
                peers,
                new EntryHostExtensions(leavingReports, BackgroundPreemptor.none()),
                telemetry);
        peers.start(host::members, host::receive);
        createPorts(new AdministrationRoutes.Dependencies(vertx, host, store, clock, scheduler, telemetry, options));
        registerGauges();
        host.start();
        fleet = FleetService.start(
                options.site(),
                FleetOptions.defaults(),
                new FleetService.Dependencies(vertx, context, host, store, clock, scheduler, telemetry, liveList));
        return Future.join(
                        callers.listen(options.callerListen(), tls),
                        administration.listen(options.administrationListen(), tls))
                .mapEmpty();
    }

    private void createPorts(AdministrationRoutes.Dependencies routeDependencies) {
        timingWheel = TimingWheel.create(context);
        workers = WorkerClients.create(vertx, options.workerOptions());
        WorkerExchange.Dependencies exchangeDependencies = new WorkerExchange.Dependencies(
                timingWheel, clock, options.workerOptions(), workers, host.servingLease(), leavingReports, telemetry);
        callers = CallerHttpServer.create(
                vertx, options.callerOptions(), host, exchangeDependencies, meters, routeDependencies.scheduler());
        administration =
                AdministrationHttpServer.create(vertx, meters, this::isReady, dependencies.routes(), routeDependencies);
    }

    private void registerGauges() {
        meters.gauge(DaemonMeter.OPEN_REQUESTS, callers::openRequests);
        meters.gauge(DaemonMeter.READY, () -> isReady() ? 1 : 0);
        meters.gauge(
                DaemonMeter.CONFIGURATION_REVISION, () -> host.configuration().revision());
    }

    private void reportStarted() {
        telemetry.event(
                EventCode.ENTRY_HOST_STARTED,
                "callers=" + callerPort() + " administration=" + administrationPort() + " peers=" + peerPort());
        awaitReady();
    }

    private void awaitReady() {
        if (isReady()) {
            hasBeenReady = true;
            telemetry.event(EventCode.ENTRY_HOST_READY, "node=" + options.node());
        } else if (!stopping) {
            vertx.setTimer(POLL_INTERVAL.toMillis(), id -> awaitReady());
        }
    }

    /** Returns the callers' port number. */
    public int callerPort() {
        return callers.actualPort();
    }

    /** Returns the administration port number. */
    public int administrationPort() {
        return administration.actualPort();
    }

    /** Returns the peer port number. */
    public int peerPort() {
        return peers.actualPort();
    }

    /** Returns the meters of this entry host. */
    public Meters meters() {
        return meters;
    }

    /** Returns whether the entry host has become ready for callers; stays true when it is no longer ready. */
    public boolean hasBeenReady() {
        return hasBeenReady;
    }

    private boolean isReady() {
        return !stopping && host.isReady();
    }

    /**
     * Shuts down gracefully: turns not ready, waits for the load balancer, drains open requests, leaves the membership
     * and closes the ports. Requests that are still open after the drain time are closed.
     *
     * @return completes when all ports are closed
     */
    public Future<Void> shutdown() {
        Promise<Void> done = Promise.promise();
        context.runOnContext(turn -> beginShutdown(done));
        return done.future();
    }

    private void beginShutdown(Promise<Void> done) {
        if (stopping) {
            done.fail(new IllegalStateException("shutdown is already in progress"));
            return;
        }
        stopping = true;
        telemetry.event(
                EventCode.SHUTDOWN_STARTED,
                "balancer=" + options.shutdownOptions().balancerWait());
        runAfter(options.shutdownOptions().balancerWait(), () -> drain(done));
    }

    private void drain(Promise<Void> done) {
        telemetry.event(EventCode.SHUTDOWN_DRAINING, "open=" + callers.openRequests());
        callers.drain();
        fleet.close();
        host.broker().drain();
        long limitNanos = clock.monotonicNanos()
                + options.shutdownOptions().drainTimeout().toNanos();
        awaitRequests(limitNanos, done);
    }

    private void awaitRequests(long limitNanos, Promise<Void> done) {
        if (callers.openRequests() == 0 && host.broker().openRequests() == 0) {
            leave(done);
        } else if (clock.monotonicNanos() - limitNanos > 0) {
            telemetry.event(EventCode.SHUTDOWN_TIMED_OUT, "open=" + callers.openRequests());
            callers.closeConnections();
            leave(done);
        } else {
            runAfter(POLL_INTERVAL, () -> awaitRequests(limitNanos, done));
        }
    }

    private void leave(Promise<Void> done) {
        Promise<Void> leaveFinished = Promise.promise();
        host.leave().whenComplete((result, error) -> leaveFinished.tryComplete());
        vertx.setTimer(options.peerTiming().promiseTime().toMillis(), id -> leaveFinished.tryComplete());
        leaveFinished.future().compose(ignored -> closePorts()).onComplete(closed -> {
            telemetry.event(EventCode.SHUTDOWN_COMPLETED, "node=" + options.node());
            done.complete();
        });
    }

    private Future<Void> closePorts() {
        closed = true;
        fleet.close();
        host.close();
        tls.close();
        workers.close();
        timingWheel.close();
        liveList.ifPresent(LiveHostReader::close);
        return Future.join(callers.shutdown(), administration.shutdown(), peers.shutdown())
                .transform(closed -> vertx.undeploy(deploymentId))
                .otherwiseEmpty();
    }

    private void runAfter(Duration delay, Runnable action) {
        vertx.setTimer(Math.max(1, delay.toMillis()), id -> action.run());
    }

    /** Closes the ports at once without draining, like a crash of the process. */
    @Override
    public void close() {
        if (!closed) {
            stopping = true;
            context.runOnContext(turn -> closePorts());
        }
    }

    private record Deployment(EntryHostServer server) implements Deployable {
        @Override
        public Future<?> deploy(Context context) {
            return server.open(context);
        }
    }
}
