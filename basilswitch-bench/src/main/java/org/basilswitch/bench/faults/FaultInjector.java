package org.basilswitch.bench.faults;

import java.time.Duration;

/** Starts the faults of a run at their times and ends them after their durations. */
final class FaultInjector {
    /** A crashed process restarts, and a replaced key is withdrawn, after this fraction of the fault's duration. */
    private static final int SHORT_DELAY_DIVISOR = 3;

    private final FaultSite site;

    FaultInjector(FaultSite site) {
        this.site = site;
    }

    void schedule(Fault fault) {
        site.time().schedule(Duration.ofMillis(fault.atMs()), () -> start(fault));
    }

    private void start(Fault fault) {
        site.trace(fault.kind() + " " + fault.first() + " " + fault.second() + " for " + fault.durationMs() + " ms");
        int slot = fault.first() % site.hosts();
        int other = fault.second() % site.hosts();
        String team = FaultSite.TEAMS.get(fault.first() % FaultSite.TEAMS.size());
        SimulatedWorkers.Worker worker =
                site.workers().all().get(fault.first() % site.workers().all().size());
        switch (fault.kind()) {
            case CRASH -> crash(slot, fault);
            case CRASH_SEVERAL -> crashSeveral(fault);
            case PAUSE -> pause(slot, fault);
            case LEAVE -> leave(slot, fault);
            case CUT_ONE_WAY -> during(fault, change -> site.links().cut(slot, other, change));
            case CUT_FROM_PEERS -> during(fault, change -> cutFromPeers(slot, change));
            case CUT_FROM_STORE -> during(fault, change -> site.cutStore(slot, change));
            case CUT_FROM_ALL ->
                during(fault, change -> {
                    cutFromPeers(slot, change);
                    site.cutStore(slot, change);
                });
            case LOSSY_LINKS -> during(fault, site.links()::lossy);
            case SLOW_LINKS -> during(fault, site.links()::slow);
            case STORE_DOWN -> during(fault, change -> site.changeStoreFaults(change, 0, 0));
            case STORE_SLOW -> during(fault, change -> site.changeStoreFaults(0, change, 0));
            case STORE_LOSES_ANSWERS -> during(fault, change -> site.changeStoreFaults(0, 0, change));
            case STORE_COMPACTS -> site.store().compact(site.store().revision() - fault.second() % 50);
            case WORKER_DOWN -> during(fault, worker::down);
            case WORKER_FAILS_ALL -> during(fault, worker::failing);
            case WORKER_LEAVES -> during(fault, change -> site.operators().setLeaving(worker.name(), change > 0));
            case LIMIT_CHANGED -> site.operators().changeLimit(team, 1 + fault.second() % 12);
            case KEY_WITHDRAWN ->
                site.operators().replaceKey(team, Duration.ofMillis(fault.durationMs() / SHORT_DELAY_DIVISOR));
            case BURST -> during(fault, change -> site.callers().burst(change, fault.second()));
        }
    }

    /** An effect that is started with +1 and ended with -1, so that overlapping faults add up. */
    private interface Switch {
        void change(int change);
    }

    private void during(Fault fault, Switch effect) {
        effect.change(1);
        site.time().schedule(Duration.ofMillis(fault.durationMs()), () -> effect.change(-1));
    }

    private void cutFromPeers(int slot, int change) {
        for (int other = 0; other < site.hosts(); other++) {
            if (other != slot) {
                site.links().cut(slot, other, change);
                site.links().cut(other, slot, change);
            }
        }
    }

    private void crash(int slot, Fault fault) {
        site.kill(slot);
        restart(slot, fault);
    }

    private void restart(int slot, Fault fault) {
        site.time()
                .schedule(Duration.ofMillis(fault.durationMs() / SHORT_DELAY_DIVISOR), () -> site.startProcess(slot));
    }

    private void crashSeveral(Fault fault) {
        for (int slot = 0; slot < site.hosts(); slot++) {
            if ((fault.first() >> slot & 1) != 0) {
                crash(slot, fault);
            }
        }
    }

    private void pause(int slot, Fault fault) {
        site.process(slot).ifPresent(process -> {
            process.pause();
            site.time().schedule(Duration.ofMillis(fault.durationMs()), process.time()::resume);
        });
    }

    private void leave(int slot, Fault fault) {
        site.process(slot)
                .filter(process -> !process.leaving())
                .ifPresent(process -> process.leave(() -> {
                    if (site.process(slot).filter(process::equals).isPresent()) {
                        site.kill(slot);
                        restart(slot, fault);
                    }
                }));
    }
}
