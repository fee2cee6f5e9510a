package org.basilswitch.daemon.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;

/** Sends frames to one peer over a connection that is reopened with exponential backoff, from a bounded queue. */
final class PeerConnection implements AutoCloseable {
    private static final int QUEUE_LIMIT_FRAMES = 512;
    private static final long QUEUE_LIMIT_BYTES = 16L * 1024 * 1024;
    private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

    private final Vertx vertx;
    private final NetClient client;
    private final Member peer;
    private final Buffer hello;
    private final Telemetry telemetry;
    private final PeerMeters meters;
    private final ArrayDeque<Buffer> queue = new ArrayDeque<>();
    private long queuedBytes;
    private Duration backoff = MIN_BACKOFF;
    private Optional<NetSocket> socket = Optional.empty();
    private boolean closed;

    private PeerConnection(
            Vertx vertx, NetClient client, Member peer, Buffer hello, Telemetry telemetry, PeerMeters meters) {
        this.vertx = vertx;
        this.client = client;
        this.peer = peer;
        this.hello = hello;
        this.telemetry = telemetry;
        this.meters = meters;
    }

    static PeerConnection open(
            Vertx vertx, NetClient client, Member peer, Buffer hello, Telemetry telemetry, PeerMeters meters) {
        PeerConnection connection = new PeerConnection(vertx, client, peer, hello, telemetry, meters);
        connection.connect();
        return connection;
    }

    private void connect() {
        if (closed) {
            return;
        }
        int colon = peer.peerAddress().lastIndexOf(':');
        SocketAddress address = SocketAddress.inetSocketAddress(
                Integer.parseInt(peer.peerAddress().substring(colon + 1)),
                peer.peerAddress().substring(0, colon));
        client.connect(address).onSuccess(this::onConnected).onFailure(this::onConnectFailed);
    }

    private void onConnected(NetSocket connected) {
        if (closed) {
            connected.close();
            return;
        }
        socket = Optional.of(connected);
        backoff = MIN_BACKOFF;
        meters.addConnected(1);
        telemetry.event(EventCode.PEER_CONNECTED, detail());
        connected.closeHandler(ignored -> onDisconnected());
        connected.exceptionHandler(error -> connected.close());
        connected.drainHandler(drained -> flush());
        write(connected, hello);
        flush();
    }

    private void onConnectFailed(Throwable error) {
        if (backoff.equals(MIN_BACKOFF)) {
            telemetry.event(EventCode.PEER_CONNECT_FAILED, detail() + " error=" + error.getMessage());
        }
        scheduleReconnect();
    }

    private void onDisconnected() {
        socket = Optional.empty();
        meters.addConnected(-1);
        if (!closed) {
            telemetry.event(EventCode.PEER_DISCONNECTED, detail());
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        vertx.setTimer(backoff.toMillis(), id -> connect());
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }

    void send(Buffer frame) {
        queue.add(frame);
        queuedBytes += frame.length();
        flush();
        while (queue.size() > QUEUE_LIMIT_FRAMES || queuedBytes > QUEUE_LIMIT_BYTES) {
            queuedBytes -= queue.remove().length();
            telemetry.count(CounterCode.PEER_MESSAGES_DROPPED, "queue-full");
            telemetry.event(EventCode.PEER_QUEUE_FULL, detail());
        }
    }

    private void flush() {
        while (socket.isPresent() && !queue.isEmpty() && !socket.get().writeQueueFull()) {
            Buffer frame = queue.remove();
            queuedBytes -= frame.length();
            write(socket.get(), frame);
        }
    }

    private void write(NetSocket target, Buffer frame) {
        target.write(frame);
        meters.onSent(frame.length());
    }

    private String detail() {
        return "peer=" + peer.name() + " address=" + peer.peerAddress();
    }

    @Override
    public void close() {
        closed = true;
        socket.ifPresent(NetSocket::close);
    }
}
