package org.basilswitch.standin.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** The platform's agent on a worker host: reports its boot and running requests with a lag, and reboots it once. */
final class HostAgent {
    /** Time between two samples. */
    static final Duration SAMPLE_INTERVAL = Duration.ofMillis(100);

    private static final int LAG_SAMPLES = 4;

    private final String host;
    private final Deque<Report> samples = new ArrayDeque<>();
    private long boots = 1;
    private int cutByReboots;

    private HostAgent(String host) {
        this.host = host;
    }

    static HostAgent of(String host) {
        return new HostAgent(host);
    }

    /** Takes a sample of the running requests. */
    void sample(int runningTasks) {
        samples.addLast(new Report(Instant.now().toString(), bootId(), runningTasks, true));
        while (samples.size() > LAG_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** The oldest sample kept. */
    Report report() {
        return samples.isEmpty() ? new Report(Instant.now().toString(), bootId(), 0, false) : samples.peekFirst();
    }

    /** Whether a call names the current boot. */
    boolean isForCurrentBoot(RebootCall call) {
        return bootId().equals(call.bootId());
    }

    /** Starts another boot. */
    void startNextBoot() {
        boots++;
        samples.clear();
    }

    /** Counts the requests that a reboot call cuts. */
    void countCutRequests(int runningTasks) {
        cutByReboots += runningTasks;
    }

    /** Requests cut by reboot calls so far. */
    int cutByReboots() {
        return cutByReboots;
    }

    /** Boots so far. */
    long boots() {
        return boots;
    }

    private String bootId() {
        return host + "-" + boots;
    }

    /** A report, measured some time before it is read. */
    record Report(String measuredAt, String bootId, int runningTasks, boolean healthy) {}

    /** Asks for the end of a boot. */
    record RebootCall(String bootId) {}
}
