package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.time.Scheduler;

/** A backend server with slots: runs what it is sent, refuses what exceeds its slots, and fails on demand. */
public final class VirtualWorker {
    private static final Duration FAILURE_DELAY = Duration.ofMillis(1);
    private static final double MIN_SERVICE_RATIO = 0.25;

    private final int slots;
    private final Duration meanService;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final Map<String, Integer> runningByTeam = new HashMap<>();
    private Mode mode = Mode.NORMAL;
    private double slowness = 1;
    private int running;
    private int maxRunning;
    private long received;
    private long busyRefusals;

    VirtualWorker(int slots, Duration meanService, Scheduler scheduler, UniformRandomProvider random) {
        this.slots = slots;
        this.meanService = meanService;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Changes how the worker behaves. */
    public void setMode(Mode next) {
        mode = next;
    }

    /** Makes the worker slower than declared by a factor. */
    public void setSlowness(double factor) {
        slowness = factor;
    }

    /** Receives a request; replies later, or never while it hangs. */
    void receive(String team, Replies replies) {
        received++;
        switch (mode) {
            case FAIL -> scheduler.schedule(FAILURE_DELAY, replies::failed);
            case HANG -> {
                // never replies
            }
            case NORMAL -> run(team, replies);
        }
    }

    private void run(String team, Replies replies) {
        if (running >= slots) {
            busyRefusals++;
            replies.busy();
            return;
        }
        running++;
        maxRunning = Math.max(maxRunning, running);
        runningByTeam.merge(team, 1, Integer::sum);
        scheduler.schedule(serviceTime(), () -> {
            running--;
            runningByTeam.merge(team, -1, Integer::sum);
            replies.answered();
        });
    }

    private Duration serviceTime() {
        double exponential = -Math.log(1 - random.nextDouble());
        double part = MIN_SERVICE_RATIO + (1 - MIN_SERVICE_RATIO) * exponential;
        return Duration.ofNanos((long) (meanService.toNanos() * part * slowness));
    }

    /** Requests of a team running now. */
    public int running(String team) {
        return runningByTeam.getOrDefault(team, 0);
    }

    /** Number of slots. */
    public int slots() {
        return slots;
    }

    /** Requests running now. */
    public int running() {
        return running;
    }

    /** Most requests that ran at a time. */
    public int maxRunning() {
        return maxRunning;
    }

    /** Requests received, refused ones included. */
    public long received() {
        return received;
    }

    /** Requests refused for lack of a slot. */
    public long busyRefusals() {
        return busyRefusals;
    }

    /** Behaviours. */
    public enum Mode {
        NORMAL,
        /** Fails each request at once. */
        FAIL,
        /** Accepts and never answers. */
        HANG
    }

    /** Where a worker's reply goes. */
    interface Replies {
        /** The whole answer. */
        void answered();

        /** The connection broke. */
        void failed();

        /** No slot was free; the request has not run. */
        void busy();
    }
}
