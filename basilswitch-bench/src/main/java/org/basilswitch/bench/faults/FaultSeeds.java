package org.basilswitch.bench.faults;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.basilswitch.event.Telemetry;

/** Runs consecutive seeds of the fault run in parallel and prints their violations and totals. */
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

    /** Creates runs of consecutive seeds, each with faults for the given number of virtual minutes. */
    public static FaultSeeds of(long firstSeed, int seeds, int minutes, int threads) {
        return new FaultSeeds(firstSeed, seeds, minutes, threads);
    }

    /** Runs the seeds; returns the number of seeds that violated a guarantee. */
    public int run(PrintStream out) throws Exception {
        List<FaultRun.Report> failed = new ArrayList<>();
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
                    failed.add(report);
                    out.printf(
                            "seed %d violated a guarantee: %s%n",
                            report.seed(), report.violations().get(0));
                }
            }
        }
        out.printf(
                "seeds=%d minutes=%d events=%d calls=%d checks=%d violations=%d%n",
                seeds, minutes, events, calls, checks, failed.size());
        if (!failed.isEmpty()) {
            printMinimal(failed.get(0), out);
        }
        return failed.size();
    }

    /**
     * Runs the seeds one after another until one violates a guarantee; returns that seed and its first violation, or
     * an empty string when no seed does.
     */
    public static String findFirstViolation(long firstSeed, int seeds, int minutes) {
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            FaultRun.Report report = FaultRun.run(seed, minutes, Telemetry.none());
            if (!report.violations().isEmpty()) {
                return "seed " + seed + " " + report.violations().get(0);
            }
        }
        return "";
    }

    private void printMinimal(FaultRun.Report failed, PrintStream out) {
        FaultRun.Report minimal = FaultRun.shrink(failed.seed(), minutes);
        out.printf("seed %d, minimal faults: %d hosts, %d faults%n", failed.seed(), minimal.hosts(), minimal.faults());
        minimal.trace().forEach(out::println);
    }
}
