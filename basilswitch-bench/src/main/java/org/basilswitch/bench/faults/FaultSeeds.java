package org.basilswitch.bench.faults;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.basilswitch.event.Telemetry;

/** Runs many seeds and prints what they saw. */
public final class FaultSeeds {
    private final long firstSeed;
    private final int seeds;
    private final int minutes;
    private final int threads;

    private FaultSeeds(long firstSeed, int seeds, int minutes, int threads) {
        this.firstSeed = firstSeed;
        this.seeds = seeds;
        this.minutes = minutes;
        this.threads = threads;
    }

    /** Plans runs of consecutive seeds. */
    public static FaultSeeds of(long firstSeed, int seeds, int minutes, int threads) {
        return new FaultSeeds(firstSeed, seeds, minutes, threads);
    }

    /** Runs the seeds; returns the number of seeds that broke a promise. */
    public int run(PrintStream out) throws Exception {
        List<FaultRun.Report> broken = new ArrayList<>();
        long events = 0;
        long checks = 0;
        long calls = 0;
        try (ExecutorService pool = Executors.newFixedThreadPool(threads)) {
            List<Future<FaultRun.Report>> results = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                long seed = firstSeed + i;
                results.add(pool.submit(() -> FaultRun.run(seed, minutes, Telemetry.none())));
            }
            for (Future<FaultRun.Report> result : results) {
                FaultRun.Report report = result.get();
                events += report.events();
                checks += report.checks();
                calls += report.calls();
                if (!report.violations().isEmpty()) {
                    broken.add(report);
                    out.printf(
                            "seed %d broke a promise: %s%n",
                            report.seed(), report.violations().get(0));
                }
            }
        }
        out.printf(
                "seeds=%d minutes=%d events=%d calls=%d checks=%d violations=%d%n",
                seeds, minutes, events, calls, checks, broken.size());
        if (!broken.isEmpty()) {
            printShortest(broken.get(0), out);
        }
        return broken.size();
    }

    /** Runs the seeds one after another up to the first that breaks a promise; returns it with the promise, or nothing. */
    public static String findFirstViolation(long firstSeed, int seeds, int minutes) {
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            FaultRun.Report report = FaultRun.run(seed, minutes, Telemetry.none());
            if (!report.violations().isEmpty()) {
                return "seed " + seed + " " + report.violations().get(0);
            }
        }
        return "";
    }

    private void printShortest(FaultRun.Report broken, PrintStream out) {
        FaultRun.Report shortest = FaultRun.shrink(broken.seed(), minutes);
        out.printf(
                "seed %d, shortest trace: %d hosts, %d faults%n", broken.seed(), shortest.hosts(), shortest.faults());
        shortest.trace().forEach(out::println);
    }
}
