package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.basilswitch.time.SimulatedTime;

/** Simulated backend servers with slots, service times, a deadline that ends each request, and faults. */
final class SimulatedWorkers {
    private final FaultSite site;
    private final List<Worker> all = new ArrayList<>();

    SimulatedWorkers(FaultSite site, int count) {
        this.site = site;
        for (int i = 0; i < count; i++) {
            all.add(new Worker("w" + i));
        }
    }

    List<Worker> all() {
        return all;
    }

    Worker find(String name) {
        return all.get(Integer.parseInt(name.substring(1)));
    }

    /** Result of a request at a worker. */
    enum Result {
        ANSWERED,
        BUSY,
        RESET
    }

    /** A backend server with a fixed number of slots. */
    final class Worker {
        static final int SLOTS = 6;

        private final String name;
        private int running;
        private int down;
        private int failing;

        private Worker(String name) {
            this.name = name;
        }

        String name() {
            return name;
        }

        boolean reachable() {
            return down == 0;
        }

        void down(int change) {
            down += change;
        }

        void failing(int change) {
            failing += change;
        }

        /**
         * Receives a request's first byte and later passes the result to {@code result}. Refuses a request as busy
         * that arrives after {@code startBy}, and ends one at {@code endBy}; both are virtual times.
         */
        void receive(
                SimulatedCallers.Call call, String team, Duration startBy, Duration endBy, Consumer<Result> result) {
            SimulatedTime time = site.time();
            long now = time.monotonicNanos();
            if (now > startBy.toNanos() || now >= endBy.toNanos() || running >= SLOTS || down > 0) {
                result.accept(Result.BUSY);
                return;
            }
            running++;
            call.started();
            site.guarantees().recordStart(call, team);
            long serviceNanos = site.serviceTime().toNanos();
            long leftNanos = endBy.toNanos() - now;
            boolean completes = serviceNanos < leftNanos;
            time.schedule(Duration.ofNanos(Math.min(serviceNanos, leftNanos)), () -> {
                running--;
                site.guarantees().recordEnd(team);
                result.accept(completes && failing == 0 && down == 0 ? Result.ANSWERED : Result.RESET);
            });
        }
    }
}
