package org.basilswitch.daemon.telemetry;

import java.util.List;

/** Meters of the daemon beside the core's counters; docs/METRICS.md is written from both. */
public enum DaemonMeter {
    REQUEST_DURATION(
            "basilswitch.request.duration",
            Kind.HISTOGRAM,
            "time from a request's head to its whole answer or refusal, in seconds",
            "queue",
            "outcome"),
    STORE_CALLS("basilswitch.store.calls", Kind.COUNTER, "calls to the platform's store", "kind", "result"),
    STORE_DURATION("basilswitch.store.duration", Kind.HISTOGRAM, "time of a store call, in seconds", "kind"),
    PEER_BYTES("basilswitch.peer.bytes", Kind.COUNTER, "control bytes between entry hosts", "direction"),
    PEER_FRAMES("basilswitch.peer.frames", Kind.COUNTER, "messages between entry hosts", "direction"),
    PEERS_CONNECTED("basilswitch.peers.connected", Kind.GAUGE, "entry hosts that this one is connected to"),
    OPEN_REQUESTS("basilswitch.requests.open", Kind.GAUGE, "requests accepted and not ended"),
    READY("basilswitch.ready", Kind.GAUGE, "1 while the balancer may send callers here, else 0"),
    CONFIGURATION_REVISION(
            "basilswitch.configuration.revision",
            Kind.GAUGE,
            "store revision that the configuration is complete up to"),
    PROCESS_CPU("basilswitch.process.cpu.seconds", Kind.COUNTER, "processor time of the process, in seconds"),
    LIVE_HEAP(
            "basilswitch.process.heap.live.bytes", Kind.GAUGE, "heap in use after the last full collection, in bytes");

    private final String metric;
    private final Kind kind;
    private final String description;
    private final List<String> tagNames;

    DaemonMeter(String metric, Kind kind, String description, String... tagNames) {
        this.metric = metric;
        this.kind = kind;
        this.description = description;
        this.tagNames = List.of(tagNames);
    }

    /** Kinds of meters. */
    public enum Kind {
        COUNTER("_total"),
        GAUGE(""),
        HISTOGRAM("_seconds");

        private final String suffix;

        Kind(String suffix) {
            this.suffix = suffix;
        }

        /** The kind's name in the documentation. */
        public String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Micrometer name. */
    public String metric() {
        return metric;
    }

    /** Kind. */
    public Kind kind() {
        return kind;
    }

    /** What is measured, with its unit. */
    public String description() {
        return description;
    }

    /** Names of the tags. */
    public List<String> tagNames() {
        return tagNames;
    }

    /** Name on the Prometheus page, without the suffixes of a histogram's samples. */
    public String prometheusName() {
        return metric.replace('.', '_') + kind.suffix;
    }
}
