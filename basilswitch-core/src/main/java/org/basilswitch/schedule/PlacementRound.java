package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobSite;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/** Chooses backend servers for waiting work items, in one pass over all jobs. */
final class PlacementRound {
    /** A server that was slow comes before one where the work item failed and after all others. */
    private static final double RECENTLY_SLOW_COST = 500;

    /** A server on which a job has just failed comes after all others with room, and before one that was slow. */
    private static final double SUSPECTED_COST = 300;
    /** A work item that has failed is tried on a server that has lately done others, if there is one with room. */
    private static final double UNPROVEN_COST = 150;

    /** About as long as the longest work item of the platform's sites, 5.2 s, so that a busy server counts as proven. */
    private static final Duration PROVEN = Duration.ofSeconds(5);

    private final JobSite site;
    private final RunBook book;
    private final AdviceBook advice;
    private final long nowNanos;
    private final BiConsumer<WorkItem, ServerState> start;
    private final Map<String, List<ServerState>> byPool = new HashMap<>();
    /** Amounts that no server of a list has had room for; rooms only become smaller within a round. */
    private final Map<List<ServerState>, List<Resources>> beyondRoom = new IdentityHashMap<>();

    PlacementRound(
            JobSite site,
            RunBook book,
            AdviceBook advice,
            Predicate<ServerState> usable,
            long nowNanos,
            BiConsumer<WorkItem, ServerState> start) {
        this.advice = advice;
        this.site = site;
        this.book = book;
        this.start = start;
        this.nowNanos = nowNanos;
        for (ServerState state : book.servers()) {
            if (state.view().isPresent() && usable.test(state)) {
                byPool.computeIfAbsent(state.view().get().pool(), pool -> new ArrayList<>())
                        .add(state);
            }
        }
    }

    /** Places what fits, in the order given. */
    void place(Collection<ActiveJob> inOrder) {
        for (ActiveJob job : inOrder) {
            JobQueue queue = site.queues().get(job.submission().queue());
            if (queue != null && job.isOpen()) {
                List<ServerState> servers = byPool.getOrDefault(queue.pool(), List.of());
                job.forEachReadyStep(step -> place(job, step, advised(queue, step, servers)));
            }
        }
    }

    /** The servers that may run a step; where the queue needs advice, those that there is a ticket for. */
    private List<ServerState> advised(JobQueue queue, List<WorkItem> step, List<ServerState> servers) {
        if (!queue.adviceRequired() || step.stream().noneMatch(WorkItem::waiting)) {
            return servers;
        }
        String name = step.get(0).id().stepName();
        List<ServerState> able =
                servers.stream().filter(server -> allowed(step.get(0), server)).toList();
        advice.request(name, able);
        return able.stream()
                .filter(server ->
                        advice.ticket(name, server.lifetime().serverId()).isPresent())
                .toList();
    }

    private void place(ActiveJob job, List<WorkItem> step, List<ServerState> servers) {
        StepSpec spec = step.get(0).spec();
        if (spec.gang()) {
            placeGang(job, step, servers);
            return;
        }
        for (WorkItem item : step) {
            if (item.waiting() && teamAllows(job, spec.resources())) {
                choose(item, step, servers).ifPresent(server -> start.accept(item, server));
            }
        }
    }

    /** Starts all members or none: each member is placed for trial first. */
    private void placeGang(ActiveJob job, List<WorkItem> step, List<ServerState> servers) {
        boolean whole = step.stream().allMatch(WorkItem::waiting)
                && teamAllows(job, step.get(0).spec().resources().times(step.size()));
        if (!whole) {
            return;
        }
        Map<ServerState, Integer> taken = new HashMap<>();
        List<ServerState> chosen = new ArrayList<>();
        StepSpec spec = step.get(0).spec();
        for (WorkItem item : step) {
            Optional<ServerState> server = servers.stream()
                    .filter(s -> s.view().isPresent() && allowed(item, s))
                    .filter(s -> spec.maxPerServer() == 0 || taken.getOrDefault(s, 0) < spec.maxPerServer())
                    .filter(s ->
                            spec.reserved().times(taken.getOrDefault(s, 0) + 1).fitsInto(s.free()))
                    .max(Comparator.comparingInt(s -> taken.getOrDefault(s, 0)));
            if (server.isEmpty()) {
                return;
            }
            taken.merge(server.get(), 1, Integer::sum);
            chosen.add(server.get());
        }
        for (int i = 0; i < chosen.size(); i++) {
            start.accept(step.get(i), chosen.get(i));
        }
    }

    private boolean teamAllows(ActiveJob job, Resources more) {
        JobTeam team = site.teams().get(job.submission().team());
        return team == null || team.allows(book.usage(team.name()).plus(more));
    }

    private Optional<ServerState> choose(WorkItem item, List<WorkItem> step, List<ServerState> servers) {
        StepSpec spec = item.spec();
        if (isBeyondRoom(servers, spec.reserved())) {
            return Optional.empty();
        }
        ServerState best = null;
        boolean fitted = false;
        double bestCost = Double.MAX_VALUE;
        for (ServerState server : servers) {
            if (!spec.reserved().fitsInto(server.free())) {
                continue;
            }
            fitted = true;
            if (!allowed(item, server)
                    || copiesOn(item, server) > 0
                    || spec.maxPerServer() > 0 && onServer(step, server) >= spec.maxPerServer()) {
                continue;
            }
            double cost = cost(item, step, server);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        if (!fitted) {
            beyondRoom.computeIfAbsent(servers, key -> new ArrayList<>()).add(spec.reserved());
        }
        return Optional.ofNullable(best);
    }

    /** Whether an amount is no smaller than one that none of these servers has had room for in this round. */
    private boolean isBeyondRoom(List<ServerState> servers, Resources amount) {
        for (Resources refused : beyondRoom.getOrDefault(servers, List.of())) {
            if (refused.fitsInto(amount)) {
                return true;
            }
        }
        return false;
    }

    static boolean allowed(WorkItem item, ServerState server) {
        BackendServer view = server.view().orElseThrow();
        Optional<String> label = item.spec().label();
        return label.isEmpty() || view.labels().contains(label.get());
    }

    private static int onServer(List<WorkItem> step, ServerState server) {
        int count = 0;
        for (WorkItem item : step) {
            if (item.run().isPresent() && item.run().get().lifetime().equals(server.lifetime())) {
                count++;
            }
            count += copiesOn(item, server);
        }
        return count;
    }

    private static int copiesOn(WorkItem item, ServerState server) {
        int count = 0;
        for (Run copy : item.copies()) {
            count += copy.lifetime().equals(server.lifetime()) ? 1 : 0;
        }
        return count;
    }

    /** Lower is better. */
    private double cost(WorkItem item, List<WorkItem> step, ServerState server) {
        BackendServer view = server.view().orElseThrow();
        StepSpec spec = item.spec();
        double cost = 0;
        if (item.failedOn(view.id())) {
            cost += 1000;
        }
        if (spec.rackOfData().map(rack -> !view.labels().contains(rack)).orElse(false)) {
            cost += 100;
        }
        if (server.suspected()) {
            cost += SUSPECTED_COST;
        }
        if (item.failures() > 0 && !server.succeededWithin(PROVEN, nowNanos)) {
            cost += UNPROVEN_COST;
        }
        if (server.slowdown() > 1) {
            cost += RECENTLY_SLOW_COST;
        }
        double freeShare =
                server.free().cpuMillis() / (double) Math.max(1, view.capacity().cpuMillis());
        if (spec.longRunning()) {
            cost += 10 * onRack(step, view) + neighbours(spec, server) * 5 + (1 - freeShare);
        } else {
            cost += freeShare;
        }
        return cost;
    }

    private static int onRack(List<WorkItem> step, BackendServer view) {
        // The rack of a run is that of its server; runs on the same server count as on the same rack.
        int count = 0;
        for (WorkItem item : step) {
            if (item.run().isPresent() && item.run().get().rack().equals(view.rack())) {
                count++;
            }
        }
        return count;
    }

    /** Runs that would disturb, or be disturbed by, a work item of this step. */
    private static int neighbours(StepSpec spec, ServerState server) {
        int count = 0;
        for (Run run : server.runs()) {
            StepSpec other = run.item().spec();
            if (spec.usesSpareCapacity() && other.isServing() || spec.isServing() && other.usesSpareCapacity()) {
                count += 3;
            } else if (spec.isServing() && other.isServing()) {
                count++;
            }
        }
        return count;
    }
}
