package org.basilswitch.daemon.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Counts control traffic between entry hosts. */
public final class PeerMeters {
    private final Counter sentBytes;
    private final Counter receivedBytes;
    private final Counter sentFrames;
    private final Counter receivedFrames;
    private int connected;

    private PeerMeters(MeterRegistry registry) {
        sentBytes = counter(registry, "basilswitch.peer.bytes", "sent");
        receivedBytes = counter(registry, "basilswitch.peer.bytes", "received");
        sentFrames = counter(registry, "basilswitch.peer.frames", "sent");
        receivedFrames = counter(registry, "basilswitch.peer.frames", "received");
        Gauge.builder("basilswitch.peers.connected", () -> connected).register(registry);
    }

    /** Registers the meters. */
    public static PeerMeters create(MeterRegistry registry) {
        return new PeerMeters(registry);
    }

    private static Counter counter(MeterRegistry registry, String name, String direction) {
        return Counter.builder(name).tag("direction", direction).register(registry);
    }

    void sent(int bytes) {
        sentBytes.increment(bytes);
        sentFrames.increment();
    }

    void received(int bytes) {
        receivedBytes.increment(bytes);
        receivedFrames.increment();
    }

    void connected(int change) {
        connected += change;
    }
}
