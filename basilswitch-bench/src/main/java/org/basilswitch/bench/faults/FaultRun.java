package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.basilswitch.event.Telemetry;

/**
 * One randomised run: random faults for some virtual minutes, then a fault-free period and a check that the site
 * recovered.
 */
public final class FaultRun {
    private static final Duration LONGEST_FAULT = Duration.ofSeconds(40);
    private static final Duration FAULT_FREE_TIME = Duration.ofSeconds(40);
    private static final Duration IN_FORCE_TIME = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofMillis(100);

    private FaultRun() {}

    /**
     * Result of a run.
     *
     * @param seed seed
     * @param hosts number of entry hosts
     * @param faults number of faults
     * @param events tasks run on virtual time
     * @param calls callers' requests
     * @param checks number of guarantee checks made
     * @param counts number of requests by outcome, and number of peer messages
     * @param violations violated guarantees, oldest first
     * @param trace most recent lines of the trace
     */
    public record Report(
            long seed,
            int hosts,
            int faults,
            long events,
            long calls,
            long checks,
            String counts,
            List<String> violations,
            List<String> trace) {}

    /** Runs a seed with faults for the given number of virtual minutes. */
    public static Report run(long seed, int minutes, Telemetry telemetry) {
        long endMs = Duration.ofMinutes(minutes).toMillis();
        return run(seed, endMs, Fault.plan(seed, endMs), telemetry);
    }

    /**
     * Minimises the faults of a failing seed by delta debugging: removes ever smaller groups of faults while a
     * guarantee is still violated. Returns the report of the last failing run.
     */
    public static Report shrink(long seed, int minutes) {
        long endMs = Duration.ofMinutes(minutes).toMillis();
        List<Fault> faults = Fault.plan(seed, endMs);
        Report best = run(seed, endMs, faults, Telemetry.none());
        for (int size = Math.max(1, faults.size() / 2); size >= 1; size /= 2) {
            for (int from = 0; from < faults.size(); from += size) {
                List<Fault> fewer = new ArrayList<>(faults);
                fewer.subList(from, Math.min(from + size, faults.size())).clear();
                Report report = run(seed, endMs, fewer, Telemetry.none());
                if (!report.violations().isEmpty()) {
                    best = report;
                    faults = fewer;
                    from -= size;
                }
            }
        }
        return best;
    }

    private static Report run(long seed, long endMs, List<Fault> faults, Telemetry telemetry) {
        FaultSite site = new FaultSite(seed, telemetry);
        FaultInjector injector = new FaultInjector(site);
        faults.forEach(injector::schedule);
        long events = advance(site, Duration.ofMillis(endMs).plus(LONGEST_FAULT).plus(FAULT_FREE_TIME));
        if (site.guarantees().violations().isEmpty()) {
            events += checkRecovery(site);
        }
        List<String> violations =
                site.guarantees().violations().stream().map(Object::toString).toList();
        return new Report(
                seed,
                site.hosts(),
                faults.size(),
                events,
                site.callers().calls(),
                site.guarantees().checks(),
                site.callers().counts() + " messages=" + site.links().messages(),
                violations,
                site.traceLines());
    }

    private static long advance(FaultSite site, Duration duration) {
        long events = 0;
        long endMs = site.nowMs() + duration.toMillis();
        while (site.nowMs() < endMs && site.guarantees().violations().isEmpty()) {
            events += site.time().runFor(STEP);
        }
        return events;
    }

    private static long checkRecovery(FaultSite site) {
        for (EntryProcess process : site.processes()) {
            check(site, process.host().isReady(), process + " is not ready");
        }
        check(site, site.processes().size() == site.hosts(), "running processes: " + site.processes());
        String team = FaultSite.TEAMS.get(0);
        site.operators().changeLimit(team, 20);
        long answered = site.callers().answered();
        long events = advance(site, IN_FORCE_TIME);
        for (EntryProcess process : site.processes()) {
            int limit = process.host().configuration().teams().get(team).limitTasks();
            check(site, limit == 20, process + " has limit " + limit);
        }
        check(site, site.callers().answered() > answered, "no request was answered in the fault-free period");
        site.stopCallers();
        return events + advance(site, FaultSite.REQUEST_DEADLINE.multipliedBy(4));
    }

    private static void check(FaultSite site, boolean holds, String detail) {
        site.guarantees().check(holds, ServiceGuarantees.Guarantee.RECOVERS, detail);
    }
}
