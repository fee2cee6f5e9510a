package org.basilswitch.daemon.jobs;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.basilswitch.backpressure.ConnectionLimits;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.daemon.http.DrainingHttpServer;
import org.basilswitch.daemon.http.ServerLimits;
import org.basilswitch.event.Completions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.intake.JobNode;
import org.basilswitch.overload.Outlook;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** HTTP server on which the scheduler leader serves the other entry hosts. */
public final class SchedulerPeerServer {
    static final String CALLS = "/calls";
    static final String STATES = "/states/";
    static final String PENDING = "/pending/";
    static final String ACCEPTED = "/accepted";
    static final String OUTLOOK = "/outlook";
    static final String CANCELLED = "/cancelled/";
    static final String LEADERSHIP = "/leadership/";

    private static final Pattern FENCING_TOKEN = Pattern.compile("[1-9][0-9]{0,17}");

    /** Longer than a forwarded call, whose encoding takes more bytes than the caller's body. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final JobNode node;
    private final Telemetry telemetry;
    private final DrainingHttpServer server;

    private SchedulerPeerServer(
            JobNode node, ConnectionLimits limits, Telemetry telemetry, Clock clock, Scheduler scheduler) {
        this.node = node;
        this.telemetry = telemetry;
        this.server = DrainingHttpServer.create(
                this::handle, new ServerLimits(MAX_BODY_BYTES, limits), clock, scheduler, telemetry);
    }

    /**
     * Creates a server; it accepts no calls before {@link #listen}.
     *
     * @param node serves the requests
     * @param limits limits of the other entry hosts' connections
     * @param telemetry receives the events of failed requests
     * @param clock steady time
     * @param scheduler timers of the event loop
     */
    public static SchedulerPeerServer create(
            JobNode node, ConnectionLimits limits, Telemetry telemetry, Clock clock, Scheduler scheduler) {
        return new SchedulerPeerServer(node, limits, telemetry, clock, scheduler);
    }

    /** Starts listening on an address. */
    public Future<HttpServer> listen(Vertx vertx, String host, int port) {
        return server.listen(vertx, new HttpServerOptions(), host, port);
    }

    /** Starts the shutdown: from now on each connection is closed after its next response. */
    public void beginShutdown() {
        server.beginDraining();
    }

    /** Accepts no more calls; completes when the open ones are answered and their connections closed. */
    public Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request, byte[] body) {
        String path = request.path();
        Optional.ofNullable(request.getHeader(HttpSchedulerClient.CANDIDATE)).ifPresent(node::onCandidateSeen);
        if (request.method() == HttpMethod.POST && path.equals(ACCEPTED)) {
            respondOutlook(
                    request,
                    RecordCodec.decode(body, PeerDocument.Accepted.class),
                    job -> node.onPeerAccepted(job.submission(), job.revision(), job.returningJobs()));
        } else if (request.method() == HttpMethod.POST && path.equals(OUTLOOK)) {
            respondOutlook(
                    request,
                    RecordCodec.decode(body, PeerDocument.Returning.class),
                    message -> node.exchangeOutlook(message.jobs()));
        } else if (request.method() == HttpMethod.POST && path.equals(CALLS)) {
            handleCall(request, body);
        } else if (request.method() == HttpMethod.POST && path.startsWith(CANCELLED)) {
            node.onPeerCancelled(path.substring(CANCELLED.length()));
            request.response().setStatusCode(204).end();
        } else if (path.startsWith(LEADERSHIP)) {
            handleLeadership(request, path.substring(LEADERSHIP.length()));
        } else if (path.startsWith(STATES)) {
            respond(
                    request,
                    new PeerDocument.State(
                            node.jobState(path.substring(STATES.length())).orElse(null)));
        } else if (path.startsWith(PENDING)) {
            String queue = path.substring(PENDING.length());
            respond(
                    request,
                    new PeerDocument.Pending(
                            node.scheduler().map(s -> s.pendingJobs(queue)).orElse(-1L)));
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private void handleCall(HttpServerRequest request, byte[] body) {
        Optional<PeerDocument.Call> call = RecordCodec.decode(body, PeerDocument.Call.class);
        if (call.isEmpty()) {
            request.response().setStatusCode(400).end();
            return;
        }
        answer(
                request,
                "call of a peer",
                () -> node.answerPeer(call.get().toCall()),
                result -> respond(request, PeerDocument.Forwarded.of(result)));
    }

    /** Answers whether this host can take over a leadership, or takes it over. */
    private void handleLeadership(HttpServerRequest request, String fencingToken) {
        if (!FENCING_TOKEN.matcher(fencingToken).matches()) {
            request.response().setStatusCode(400).end();
        } else if (request.method() == HttpMethod.POST) {
            node.onHandover(Long.parseLong(fencingToken));
            request.response().setStatusCode(204).end();
        } else {
            answer(
                    request,
                    "question whether this host can take over",
                    () -> node.canTakeOver(Long.parseLong(fencingToken)),
                    can -> request.response().setStatusCode(can ? 200 : 409).end());
        }
    }

    /** Answers a request with the result of a stage, or with an error once its exception is logged. */
    private <T> void answer(
            HttpServerRequest request, String purpose, Supplier<CompletionStage<T>> stage, Consumer<T> respond) {
        Completions.thenAcceptOrLog(
                stage,
                telemetry,
                purpose,
                respond,
                () -> request.response().setStatusCode(500).end());
    }

    /** Answers a message with the leader's outlook if there is one. */
    private static <T> void respondOutlook(
            HttpServerRequest request, Optional<T> message, Function<T, Optional<Outlook>> handler) {
        Optional<Outlook> outlook = message.flatMap(handler);
        if (outlook.isPresent()) {
            respond(request, outlook.get());
        } else {
            request.response().setStatusCode(message.isPresent() ? 204 : 400).end();
        }
    }

    private static void respond(HttpServerRequest request, Object document) {
        request.response().end(Buffer.buffer(RecordCodec.encode(document)));
    }
}
