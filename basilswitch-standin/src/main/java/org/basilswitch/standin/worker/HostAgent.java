package org.basilswitch.standin.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The platform's agent on a worker host: reports the current boot and the running requests with a lag, and accepts
 * reboot calls for the current boot only, so that a repeated call does not reboot the host twice.
 */
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

    /** Records a sample of the number of running requests. */
    void sample(int runningTasks) {
        samples.addLast(new Report(Instant.now().toString(), bootId(), runningTasks, true));
        while (samples.size() > LAG_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Returns the oldest retained sample; an unhealthy report if no sample was taken since the boot. */
    Report report() {
        return samples.isEmpty() ? new Report(Instant.now().toString(), bootId(), 0, false) : samples.peekFirst();
    }

    /** Returns whether a call names the current boot. */
    boolean isForCurrentBoot(RebootCall call) {
        return bootId().equals(call.bootId());
    }

    /** Starts the next boot and discards the samples of the previous one. */
    void startNextBoot() {
        boots++;
        samples.clear();
    }

    /** Counts requests that a reboot call interrupts. */
    void countInterruptedRequests(int runningTasks) {
        cutByReboots += runningTasks;
    }

    /** Returns the number of requests interrupted by reboot calls so far. */
    int cutByReboots() {
        return cutByReboots;
    }

    /** Returns the number of boots so far, including the first one. */
    long boots() {
        return boots;
    }

    private String bootId() {
        return host + "-" + boots;
    }

    /** A host report; it is older than the time at which it is read. */
    record Report(String measuredAt, String bootId, int runningTasks, boolean healthy) {}

    /** A call to reboot the host if the named boot is the current one. */
    record RebootCall(String bootId) {}
}
