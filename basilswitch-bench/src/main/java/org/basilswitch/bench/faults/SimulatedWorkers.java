package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.basilswitch.time.SimulatedTime;

/** Fake workers: slots, service times, a deadline that ends each task, and faults. */
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

    /** What a worker made of a request. */
    enum Result {
        ANSWERED,
        BUSY,
        RESET
    }

    /** One worker. */
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

        /** A request's first byte arrives; the result is told when the worker has one. */
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
            boolean whole = serviceNanos < leftNanos;
            time.schedule(Duration.ofNanos(Math.min(serviceNanos, leftNanos)), () -> {
                running--;
                site.guarantees().recordEnd(team);
                result.accept(whole && failing == 0 && down == 0 ? Result.ANSWERED : Result.RESET);
            });
        }
    }
}
