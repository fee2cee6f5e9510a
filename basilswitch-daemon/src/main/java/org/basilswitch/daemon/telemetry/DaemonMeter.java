package org.basilswitch.daemon.telemetry;

import java.util.List;

/** Meters of the daemon in addition to the core's counters; docs/METRICS.md is generated from both. */
public enum DaemonMeter {
    REQUEST_DURATION(
            "basilswitch.request.duration",
            Kind.HISTOGRAM,
            "time from a request's headers to its complete response or refusal, in seconds",
            "queue",
            "outcome"),
    STORE_CALLS("basilswitch.store.calls", Kind.COUNTER, "calls to the platform's store", "kind", "result"),
    STORE_DURATION("basilswitch.store.duration", Kind.HISTOGRAM, "duration of a store call, in seconds", "kind"),
    PEER_BYTES("basilswitch.peer.bytes", Kind.COUNTER, "bytes of control messages between entry hosts", "direction"),
    PEER_FRAMES("basilswitch.peer.frames", Kind.COUNTER, "control messages between entry hosts", "direction"),
    PEERS_CONNECTED("basilswitch.peers.connected", Kind.GAUGE, "other entry hosts that this one is connected to"),
    OPEN_REQUESTS("basilswitch.requests.open", Kind.GAUGE, "accepted requests that have not ended"),
    READY("basilswitch.ready", Kind.GAUGE, "1 while the load balancer may send requests to this entry host, else 0"),
    CONFIGURATION_REVISION(
            "basilswitch.configuration.revision",
            Kind.GAUGE,
            "store revision up to which the configuration is complete"),
    JOBS_WAIT(
            "basilswitch.jobs.wait.ms",
            Kind.GAUGE,
            "time in which the waiting work of the fullest pool is started, as last heard, in ms; 0 below a second"),
    PROCESS_CPU("basilswitch.process.cpu.seconds", Kind.COUNTER, "CPU time of the process, in seconds"),
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

        /** Returns the name of the kind in the documentation. */
        public String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Returns the Micrometer name. */
    public String metric() {
        return metric;
    }

    /** Returns the kind of the meter. */
    public Kind kind() {
        return kind;
    }

    /** Returns what is measured, with its unit. */
    public String description() {
        return description;
    }

    /** Returns the names of the tags, in the order of the documentation. */
    public List<String> tagNames() {
        return tagNames;
    }

    /** Returns the Prometheus name, without the suffixes of a histogram's samples. */
    public String prometheusName() {
        return metric.replace('.', '_') + kind.suffix;
    }
}
