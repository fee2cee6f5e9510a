package org.basilswitch.daemon.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.basilswitch.daemon.ListenOptions;
import org.basilswitch.daemon.tls.TlsReloader;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests messages between transports over loopback. */
public final class PeerTransportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int MESSAGES = 2000;

    private Vertx vertx;
    private List<Member> members;

    /** Starts without members. */
    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        members = new CopyOnWriteArrayList<>();
    }

    /** Closes all sockets. */
    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    /** A transport with its own context. */
    private final class Node {
        private final MemberId id;
        private final Context context = vertx.getOrCreateContext();
        private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        private final List<PeerMessage> received = new CopyOnWriteArrayList<>();
        private final PeerTransport transport;

        private Node(String name, int port) {
            id = new MemberId(name);
            transport = PeerTransport.create(
                    vertx, "test", id, ThriftFrameCodec.create(), Telemetry.none(), PeerMeters.create(registry));
            Promise<Void> listening = Promise.promise();
            context.runOnContext(turn -> {
                TlsReloader tls = TlsReloader.create(vertx, Telemetry.none(), TIMEOUT);
                ListenOptions listen = new ListenOptions("127.0.0.1", port, java.util.Optional.empty());
                transport.start(() -> members, (from, message) -> received.add(message));
                transport.listen(listen, tls).onComplete(listening);
            });
            listening.future().await();
        }

        private Member member() {
            return new Member(id, id.value(), "127.0.0.1:" + transport.actualPort(), "z1");
        }

        private void send(MemberId to, PeerMessage message) {
            context.runOnContext(turn -> transport.send(to, message));
        }

        private void close() {
            Promise<Void> closed = Promise.promise();
            context.runOnContext(turn -> transport.shutdown().onComplete(closed));
            closed.future().await();
        }
    }

    private static void await(BooleanSupplier condition) {
        long limitNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < limitNanos, "condition not reached");
            Thread.onSpinWait();
        }
    }

    private static PeerMessage message(long number) {
        return new PeerMessage.SnapshotRequest(number);
    }

    /** Messages arrive unchanged and in order, and are counted. */
    @Test
    public void messagesArriveInOrder() {
        Node one = new Node("one", 0);
        Node two = new Node("two", 0);
        members.addAll(List.of(one.member(), two.member()));
        List<PeerMessage> sent = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            sent.add(message(i));
            one.send(two.id, message(i));
            if (i % 100 == 99) {
                int expected = i + 1;
                await(() -> two.received.size() == expected);
            }
        }
        assertEquals(two.received, sent);
        double frames = two.registry
                .get("basilswitch.peer.frames")
                .tag("direction", "received")
                .counter()
                .count();
        assertEquals(frames, MESSAGES + 1.0);
    }

    /** The connection to a peer is reopened after the peer has restarted at the same address. */
    @Test
    public void reconnectsAfterRestart() {
        Node one = new Node("one", 0);
        Node two = new Node("two", 0);
        members.addAll(List.of(one.member(), two.member()));
        one.send(two.id, message(1));
        await(() -> two.received.size() == 1);
        int port = two.transport.actualPort();
        two.close();
        await(() -> connectedPeers(one) == 0);
        one.send(two.id, message(2));
        Node restarted = new Node("two", port);
        await(() -> restarted.received.contains(message(2)));
        assertEquals(connectedPeers(one), 1.0);
    }

    private static double connectedPeers(Node node) {
        return node.registry.get("basilswitch.peers.connected").gauge().value();
    }

    /** The queue to an unreachable peer is bounded and drops the oldest messages. */
    @Test
    public void queueToUnreachablePeerIsBounded() {
        Node one = new Node("one", 0);
        Node two = new Node("two", 0);
        members.addAll(List.of(one.member(), two.member()));
        int port = two.transport.actualPort();
        two.close();
        for (int i = 0; i < MESSAGES; i++) {
            one.send(two.id, message(i));
        }
        Node restarted = new Node("two", port);
        await(() -> restarted.received.contains(message(MESSAGES - 1)));
        assertTrue(restarted.received.size() < MESSAGES, "received " + restarted.received.size());
    }

    /** Messages to a host that is not a member are dropped. */
    @Test
    public void messagesToUnknownMembersAreDropped() {
        Node one = new Node("one", 0);
        Node two = new Node("two", 0);
        members.add(one.member());
        one.send(two.id, message(1));
        members.add(two.member());
        one.send(two.id, message(2));
        await(() -> two.received.contains(message(2)));
    }
}
