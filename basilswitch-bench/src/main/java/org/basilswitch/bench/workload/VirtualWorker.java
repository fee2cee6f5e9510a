package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.time.Scheduler;

/** Simulated backend server that refuses requests beyond its slots and can be made to fail, hang or run slowly. */
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

    /** Sets the worker's behaviour for requests that arrive from now on. */
    public void setMode(Mode next) {
        mode = next;
    }

    /** Sets the factor by which service times are longer than the declared mean. */
    public void setSlowness(double factor) {
        slowness = factor;
    }

    /** Receives a request and replies later, or never in mode {@link Mode#HANG}. */
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
        double ratio = MIN_SERVICE_RATIO + (1 - MIN_SERVICE_RATIO) * exponential;
        return Duration.ofNanos((long) (meanService.toNanos() * ratio * slowness));
    }

    /** Returns the number of running requests of a team. */
    public int running(String team) {
        return runningByTeam.getOrDefault(team, 0);
    }

    /** Returns the number of slots. */
    public int slots() {
        return slots;
    }

    /** Returns the number of running requests. */
    public int running() {
        return running;
    }

    /** Returns the largest number of requests that ran at a time. */
    public int maxRunning() {
        return maxRunning;
    }

    /** Returns the number of requests received, refused ones included. */
    public long received() {
        return received;
    }

    /** Returns the number of requests refused for lack of a free slot. */
    public long busyRefusals() {
        return busyRefusals;
    }

    /** Behaviour on a request. */
    public enum Mode {
        NORMAL,
        /** Fails each request after 1 ms. */
        FAIL,
        /** Accepts each request and never answers. */
        HANG
    }

    /** Receiver of a worker's reply to one request. */
    interface Replies {
        /** Called when the complete answer was sent. */
        void answered();

        /** Called when the connection was reset. */
        void failed();

        /** Called when no slot was free; the request has not run. */
        void busy();
    }
}
