package org.basilswitch.daemon.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.basilswitch.daemon.ListenOptions;
import org.basilswitch.daemon.tls.TlsMaterial;
import org.basilswitch.daemon.tls.TlsReloader;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerLink;
import org.basilswitch.peer.PeerMessage;

/**
 * Sends and receives messages between entry hosts over TCP: each host sends on the connections it has opened and
 * receives on those it has accepted. All methods run on the entry host's event loop.
 */
public final class PeerTransport implements PeerLink, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(5);

    private final Vertx vertx;
    private final String site;
    private final MemberId self;
    private final FrameCodec codec;
    private final Telemetry telemetry;
    private final PeerMeters meters;
    private NetServer server;
    private String listenIp;
    private NetClient client;
    private final Map<MemberId, PeerConnection> connections = new HashMap<>();
    private final Set<NetSocket> inboundSockets = new HashSet<>();
    private final Map<MemberId, Member> membersByHello = new HashMap<>();
    private boolean closed;
    private Supplier<List<Member>> members = List::of;
    private BiConsumer<MemberId, PeerMessage> receiver = (from, message) -> {};

    private PeerTransport(
            Vertx vertx, String site, MemberId self, FrameCodec codec, Telemetry telemetry, PeerMeters meters) {
        this.vertx = vertx;
        this.site = site;
        this.self = self;
        this.codec = codec;
        this.telemetry = telemetry;
        this.meters = meters;
    }

    /** Creates a transport; it receives no messages before {@link #listen} and {@link #start}. */
    public static PeerTransport create(
            Vertx vertx, String site, MemberId self, FrameCodec codec, Telemetry telemetry, PeerMeters meters) {
        return new PeerTransport(vertx, site, self, codec, telemetry, meters);
    }

    /** Starts listening; {@link #actualPort} is valid once the future completes. */
    public Future<Void> listen(ListenOptions listen, TlsReloader tls) {
        return tls.bind(listen.tls(), material -> listen(listen, material), this::updateTls);
    }

    private Future<NetServer> listen(ListenOptions listen, Optional<TlsMaterial> tls) {
        NetServerOptions serverOptions =
                new NetServerOptions().setHost(listen.ip()).setPort(listen.port());
        NetClientOptions clientOptions = new NetClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setHostnameVerificationAlgorithm("");
        tls.ifPresent(material -> {
            material.applyTo(serverOptions);
            material.applyTo(clientOptions);
        });
        listenIp = listen.ip();
        client = vertx.createNetClient(clientOptions);
        server = vertx.createNetServer(serverOptions).connectHandler(this::onAccepted);
        return server.listen();
    }

    private Future<?> updateTls(TlsMaterial material) {
        return Future.join(
                server.updateSSLOptions(material.serverOptions()), client.updateSSLOptions(material.clientOptions()));
    }

    /**
     * Starts delivering messages.
     *
     * @param memberList returns the current members, with the addresses to send to
     * @param messageReceiver receives each message with its sender
     */
    public void start(Supplier<List<Member>> memberList, BiConsumer<MemberId, PeerMessage> messageReceiver) {
        members = memberList;
        receiver = messageReceiver;
        vertx.setPeriodic(PRUNE_INTERVAL.toMillis(), id -> closeUnusedConnections());
    }

    /** Returns the port listened on, also when a free one was requested. */
    public int actualPort() {
        return server.actualPort();
    }

    @Override
    public void send(MemberId to, PeerMessage message) {
        if (closed) {
            return;
        }
        PeerConnection connection = connections.get(to);
        if (connection == null) {
            Optional<Member> peer = findMember(to);
            if (peer.isEmpty()) {
                telemetry.count(CounterCode.PEER_MESSAGES_DROPPED, "unknown-member");
                return;
            }
            Buffer hello = FrameReader.frame(
                    Hello.of(site, self, listenIp + ":" + actualPort()).encode());
            connection = PeerConnection.open(vertx, client, peer.get(), hello, telemetry, meters);
            connections.put(to, connection);
        }
        connection.send(FrameReader.frame(codec.encode(message)));
    }

    private Optional<Member> findMember(MemberId id) {
        return members.get().stream()
                .filter(member -> member.id().equals(id))
                .findFirst()
                .or(() -> Optional.ofNullable(membersByHello.get(id)));
    }

    private void closeUnusedConnections() {
        Set<MemberId> present = new HashSet<>(membersByHello.keySet());
        members.get().forEach(member -> present.add(member.id()));
        connections.entrySet().removeIf(entry -> {
            boolean unused = !present.contains(entry.getKey());
            if (unused) {
                entry.getValue().close();
            }
            return unused;
        });
    }

    private void onAccepted(NetSocket socket) {
        inboundSockets.add(socket);
        InboundConnection inbound = new InboundConnection(socket);
        socket.handler(FrameReader.create(inbound::onFrame, inbound::onInvalidLength));
        socket.exceptionHandler(error -> socket.close());
        socket.closeHandler(closed -> inbound.onClosed());
    }

    /** Closes all connections and stops listening. */
    public Future<Void> shutdown() {
        closed = true;
        connections.values().forEach(PeerConnection::close);
        connections.clear();
        return Future.join(server.close(), client.close()).mapEmpty();
    }

    @Override
    public void close() {
        shutdown();
    }

    /** A connection opened by a peer. */
    private final class InboundConnection {
        private final NetSocket socket;
        private Optional<MemberId> sender = Optional.empty();

        private InboundConnection(NetSocket socket) {
            this.socket = socket;
        }

        private void onFrame(byte[] frame) {
            meters.onReceived(FrameReader.LENGTH_BYTES + frame.length);
            if (sender.isEmpty()) {
                onHello(frame);
            } else {
                onMessage(sender.get(), frame);
            }
        }

        private void onHello(byte[] frame) {
            Optional<Hello> hello = Hello.decode(frame);
            if (hello.isEmpty()) {
                reject("hello", "invalid hello");
            } else if (!hello.get().site().equals(site)) {
                reject("site", "site=" + hello.get().site());
            } else {
                onValidHello(hello.get());
            }
        }

        /**
         * Records the sender's address, because a host that is joining must receive acknowledgements before it is a
         * member.
         */
        private void onValidHello(Hello hello) {
            MemberId id = new MemberId(hello.member());
            sender = Optional.of(id);
            membersByHello.put(id, new Member(id, hello.member(), hello.address(), ""));
        }

        private void onClosed() {
            inboundSockets.remove(socket);
            sender.ifPresent(membersByHello::remove);
        }

        private void onMessage(MemberId from, byte[] frame) {
            codec.decode(frame)
                    .peekLeft(error -> reject("message", error))
                    .peek(message -> message.ifPresent(known -> receiver.accept(from, known)));
        }

        private void onInvalidLength(int length) {
            reject("length", "length=" + length);
        }

        private void reject(String reason, String detail) {
            telemetry.count(CounterCode.PEER_FRAMES_INVALID, reason);
            telemetry.event(EventCode.PEER_FRAME_INVALID, "from=" + socket.remoteAddress() + " " + detail);
            socket.close();
        }
    }
}
