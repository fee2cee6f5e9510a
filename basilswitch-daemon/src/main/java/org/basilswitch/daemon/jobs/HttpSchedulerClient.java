package org.basilswitch.daemon.jobs;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.daemon.http.SilentConnections;
import org.basilswitch.intake.ForwardedAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.intake.SchedulerClient;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.ReturningJob;

/** HTTP client for the entry host that is the scheduler leader. */
public final class HttpSchedulerClient implements SchedulerClient {
    /** A peer responds from memory; after this time, reading the store is preferable to waiting. */
    private static final int TIMEOUT_MS = 350;

    /**
     * A few connections suffice: messages are short, and a forwarded call waits for one commit of the leader, which
     * typically takes 4 ms.
     */
    private static final int MAX_CONNECTIONS = 4;

    /** Header with the address of a host that may take over the leadership. */
    static final String CANDIDATE = "Leadership-Candidate";

    private final HttpClient client;
    private final SilentConnections connections = SilentConnections.create();
    private final Optional<String> candidate;

    private HttpSchedulerClient(HttpClient client, Optional<String> candidate) {
        this.client = client;
        this.candidate = candidate;
    }

    /**
     * Creates a client.
     *
     * @param candidate address of this host, if the leader may hand over to it
     */
    public static HttpSchedulerClient create(Vertx vertx, Optional<String> candidate) {
        HttpClientOptions options = new HttpClientOptions().setTcpNoDelay(true).setConnectTimeout(TIMEOUT_MS);
        return new HttpSchedulerClient(
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)), candidate);
    }

    @Override
    public CompletionStage<Optional<ForwardedAnswer>> forward(String holder, JobCall call) {
        Buffer body = Buffer.buffer(RecordCodec.encode(PeerDocument.Call.of(call)));
        return call(HttpMethod.POST, holder, SchedulerPeerServer.CALLS, body, (int)
                        call.timeout().toMillis())
                .thenApply(answer -> answer.flatMap(
                                buffer -> RecordCodec.decode(buffer.getBytes(), PeerDocument.Forwarded.class))
                        .map(PeerDocument.Forwarded::toAnswer));
    }

    @Override
    public CompletionStage<Optional<JobState>> queryState(String holder, String id) {
        return call(HttpMethod.GET, holder, SchedulerPeerServer.STATES + id, Buffer.buffer())
                .thenApply(
                        body -> body.flatMap(buffer -> RecordCodec.decode(buffer.getBytes(), PeerDocument.State.class))
                                .flatMap(document -> Optional.ofNullable(document.state())));
    }

    @Override
    public CompletionStage<Optional<Long>> queryPendingJobs(String holder, String queue) {
        return call(HttpMethod.GET, holder, SchedulerPeerServer.PENDING + queue, Buffer.buffer())
                .thenApply(body -> body.flatMap(
                                buffer -> RecordCodec.decode(buffer.getBytes(), PeerDocument.Pending.class))
                        .map(PeerDocument.Pending::jobs)
                        .filter(jobs -> jobs >= 0));
    }

    @Override
    public CompletionStage<Boolean> canTakeOver(String host, long fencingToken) {
        return call(HttpMethod.GET, host, SchedulerPeerServer.LEADERSHIP + fencingToken, Buffer.buffer())
                .thenApply(Optional::isPresent);
    }

    @Override
    public void handOver(String host, long fencingToken) {
        call(HttpMethod.POST, host, SchedulerPeerServer.LEADERSHIP + fencingToken, Buffer.buffer());
    }

    @Override
    public CompletionStage<Optional<Outlook>> notifyAccepted(
            String holder, JobSubmission submission, long revision, List<ReturningJob> returningJobs) {
        Buffer body = Buffer.buffer(RecordCodec.encode(new PeerDocument.Accepted(submission, revision, returningJobs)));
        return outlook(call(HttpMethod.POST, holder, SchedulerPeerServer.ACCEPTED, body));
    }

    @Override
    public CompletionStage<Optional<Outlook>> exchangeOutlook(String holder, List<ReturningJob> returningJobs) {
        Buffer body = Buffer.buffer(RecordCodec.encode(new PeerDocument.Returning(returningJobs)));
        return outlook(call(HttpMethod.POST, holder, SchedulerPeerServer.OUTLOOK, body));
    }

    private static CompletionStage<Optional<Outlook>> outlook(CompletionStage<Optional<Buffer>> answer) {
        return answer.thenApply(body -> body.flatMap(buffer -> RecordCodec.decode(buffer.getBytes(), Outlook.class)));
    }

    @Override
    public void notifyCancelled(String holder, String id) {
        call(HttpMethod.POST, holder, SchedulerPeerServer.CANCELLED + id, Buffer.buffer());
    }

    private CompletionStage<Optional<Buffer>> call(HttpMethod method, String holder, String uri, Buffer body) {
        return call(method, holder, uri, body, TIMEOUT_MS);
    }

    private CompletionStage<Optional<Buffer>> call(
            HttpMethod method, String holder, String uri, Buffer body, int timeoutMs) {
        CompletableFuture<Optional<Buffer>> answer = new CompletableFuture<>();
        try {
            send(method, holder, uri, body, timeoutMs, answer);
        } catch (RuntimeException e) {
            // The holder, which is read from the store, is not an address.
            answer.complete(Optional.empty());
        }
        return answer;
    }

    private void send(
            HttpMethod method,
            String holder,
            String uri,
            Buffer body,
            int timeoutMs,
            CompletableFuture<Optional<Buffer>> answer) {
        int colon = holder.lastIndexOf(':');
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(holder.substring(0, colon))
                .setPort(Integer.parseInt(holder.substring(colon + 1)))
                .setURI(uri)
                .setConnectTimeout(TIMEOUT_MS)
                .setIdleTimeout(timeoutMs);
        candidate.ifPresent(address -> options.putHeader(CANDIDATE, address));
        client.request(options)
                .compose(request -> send(request, holder, body))
                .onComplete(result -> answer.complete(result.succeeded() ? result.result() : Optional.empty()));
    }

    private Future<Optional<Buffer>> send(HttpClientRequest request, String holder, Buffer body) {
        SilentConnections.Call call = connections.begin(holder, request.connection());
        return request.send(body)
                .compose(response -> response.body()
                        .map(buffer -> response.statusCode() == 200 ? Optional.of(buffer) : Optional.<Buffer>empty()))
                .onComplete(answered -> call.answered(), error -> call.failed(error instanceof TimeoutException));
    }
}
