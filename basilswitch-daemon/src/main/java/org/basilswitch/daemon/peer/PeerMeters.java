package org.basilswitch.daemon.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.basilswitch.daemon.telemetry.DaemonMeter;

/** Metrics of the peer transport: bytes and frames per direction, and connected peers. */
public final class PeerMeters {
    private final Counter sentBytes;
    private final Counter receivedBytes;
    private final Counter sentFrames;
    private final Counter receivedFrames;
    private volatile int connectedPeers;

    private PeerMeters(MeterRegistry registry) {
        sentBytes = counter(registry, DaemonMeter.PEER_BYTES, "sent");
        receivedBytes = counter(registry, DaemonMeter.PEER_BYTES, "received");
        sentFrames = counter(registry, DaemonMeter.PEER_FRAMES, "sent");
        receivedFrames = counter(registry, DaemonMeter.PEER_FRAMES, "received");
        Gauge.builder(DaemonMeter.PEERS_CONNECTED.metric(), () -> connectedPeers)
                .register(registry);
    }

    /** Creates the meters and registers them. */
    public static PeerMeters create(MeterRegistry registry) {
        return new PeerMeters(registry);
    }

    private static Counter counter(MeterRegistry registry, DaemonMeter meter, String direction) {
        return Counter.builder(meter.metric()).tag("direction", direction).register(registry);
    }

    void onSent(int bytes) {
        sentBytes.increment(bytes);
        sentFrames.increment();
    }

    void onReceived(int bytes) {
        receivedBytes.increment(bytes);
        receivedFrames.increment();
    }

    void addConnected(int change) {
        connectedPeers += change;
    }
}
