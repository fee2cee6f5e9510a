package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;
import org.basilswitch.fleet.WorkerPlatform;
import org.basilswitch.time.SimulatedTime;

/** Simulated worker hosts, which run tasks, report their usage with a delay, reboot, lose power, or fail to return. */
final class SimulatedHosts {
    private static final Duration REPORT_LAG = Duration.ofMillis(500);
    private static final Duration LIST_LAG = Duration.ofSeconds(3);
    private static final Duration CALL_DELAY = Duration.ofMillis(2);

    private final SimulatedTime time;
    private final UniformRandomProvider random;
    private final SimulatedFleetSpec spec;
    private final Map<String, Worker> workers = new HashMap<>();
    private WorkerPlatform.LiveHostList list;
    private int lostAnswers;
    private int reboots;

    SimulatedHosts(SimulatedTime time, UniformRandomProvider random, SimulatedFleetSpec spec) {
        this.time = time;
        this.random = random;
        this.spec = spec;
        this.list = new WorkerPlatform.LiveHostList(time.instant(), Set.of(), Set.of());
        refreshList();
    }

    private void refreshList() {
        Set<String> live = new HashSet<>();
        workers.values().stream().filter(w -> w.healthy).forEach(w -> live.add(w.name));
        WorkerPlatform.LiveHostList measured = new WorkerPlatform.LiveHostList(time.instant(), live, Set.of());
        time.schedule(LIST_LAG, () -> list = measured);
        time.schedule(Duration.ofSeconds(1), this::refreshList);
    }

    private Worker worker(String name) {
        return workers.computeIfAbsent(name, Worker::new);
    }

    void add(String name) {
        worker(name);
    }

    /** Chooses the hosts that will not return from a reboot. */
    void chooseReturnFailures() {
        List<Worker> order = new ArrayList<>(workers.values());
        order.sort(Comparator.comparing(worker -> worker.name));
        Collections.shuffle(order, new java.util.Random(random.nextLong()));
        long failing = Math.round(order.size() * spec.returnFailureRatio());
        order.stream().limit(failing).forEach(worker -> worker.failsToReturn = true);
    }

    /** Starts a task; returns false when the host is not healthy. */
    boolean startTask(String host, Duration runTime) {
        Worker worker = worker(host);
        if (!worker.healthy) {
            return false;
        }
        long boot = worker.boot;
        worker.running++;
        time.schedule(runTime, () -> {
            if (worker.boot == boot && worker.healthy) {
                worker.running--;
            }
        });
        return true;
    }

    /** Powers off a host for the given duration. Its tasks end, but are not counted as answers lost by maintenance. */
    void powerOff(String host, Duration outage) {
        Worker worker = worker(host);
        worker.healthy = false;
        worker.boot++;
        worker.running = 0;
        time.schedule(outage, () -> worker.healthy = true);
    }

    int lostAnswers() {
        return lostAnswers;
    }

    int reboots() {
        return reboots;
    }

    int mostRebootsOfOneHost() {
        return workers.values().stream().mapToInt(w -> w.reboots).max().orElse(0);
    }

    /** Returns the platform interface for one member, whose calls wait while that member is paused. */
    WorkerPlatform platformFor(PausableTime member) {
        return new PlatformClient(member);
    }

    private static final class Worker {
        private final String name;
        private boolean healthy = true;
        private boolean failsToReturn;
        private long boot = 1;
        private int running;
        private int reboots;
        private WorkerPlatform.HostUsage reported;

        private Worker(String name) {
            this.name = name;
        }
    }

    private final class PlatformClient implements WorkerPlatform {
        private final PausableTime member;

        private PlatformClient(PausableTime member) {
            this.member = member;
        }

        @Override
        public CompletionStage<Either<Failure, HostUsage>> usage(Host host) {
            CompletableFuture<Either<Failure, HostUsage>> answer = new CompletableFuture<>();
            Worker worker = worker(host.name());
            HostUsage now = new HostUsage(time.instant(), "boot-" + worker.boot, worker.running, worker.healthy);
            Instant due = time.instant().plus(REPORT_LAG);
            if (worker.reported == null || due.isAfter(worker.reported.measuredAt())) {
                time.schedule(REPORT_LAG, () -> worker.reported = now);
            }
            HostUsage lastReport = worker.reported;
            boolean answers = worker.healthy && lastReport != null;
            member.schedule(
                    CALL_DELAY,
                    () -> answer.complete(answers ? Either.right(lastReport) : Either.left(Failure.TIMEOUT)));
            return answer;
        }

        @Override
        public CompletionStage<Either<Failure, Boolean>> reboot(Host host, String bootId) {
            CompletableFuture<Either<Failure, Boolean>> answer = new CompletableFuture<>();
            member.schedule(CALL_DELAY, () -> {
                boolean accepted = rebootNow(worker(host.name()), bootId);
                answer.complete(Either.right(accepted));
            });
            return answer;
        }

        @Override
        public CompletionStage<Either<Failure, LiveHostList>> liveHosts() {
            CompletableFuture<Either<Failure, LiveHostList>> answer = new CompletableFuture<>();
            member.schedule(CALL_DELAY, () -> answer.complete(Either.right(list)));
            return answer;
        }
    }

    private boolean rebootNow(Worker worker, String bootId) {
        if (!worker.healthy || !bootId.equals("boot-" + worker.boot)) {
            return false;
        }
        lostAnswers += worker.running;
        reboots++;
        worker.reboots++;
        worker.running = 0;
        worker.healthy = false;
        worker.boot++;
        worker.reported = null;
        if (!worker.failsToReturn) {
            double spread = 0.9 + 0.2 * random.nextDouble();
            long rebootNanos = (long) (spec.rebootTime().toNanos() * spread);
            time.schedule(Duration.ofNanos(rebootNanos), () -> worker.healthy = true);
        }
        return true;
    }
}
