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

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/** Chooses backend servers for waiting work items in one pass over all jobs. */
final class PlacementRound {
    /**
     * Cost of a server that was recently slow; it is chosen after all other servers, but before servers on which the
     * work item failed.
     */
    private static final double RECENTLY_SLOW_COST = 500;

    /**
     * Cost of a server on which a job has failed since the last success; it is chosen after all other servers, but
     * before slow servers and servers on which the work item failed.
     */
    private static final double RECENT_FAILURE_COST = 300;
    /**
     * Cost of a server that may hold runs for longer than their lease after it is lost; it is chosen after all other
     * servers, but before servers on a rack without the work item's data.
     */
    private static final double LONG_HOLD_COST = 90;
    /** Cost of a server away from the work item's data or group. */
    private static final double OTHER_RACK_COST = 100;
    /** Preference of a server away from the work item's data or group, relative to one near it. */
    private static final double OTHER_RACK_PREFERENCE = 0.6;
    /** Preference of a server that has failed or was slow, relative to another one. */
    private static final double SUSPECT_PREFERENCE = 0.01;
    /** Cost of a server without a recent success, for a work item that has failed before. */
    private static final double UNPROVEN_COST = 150;

    /**
     * Time for which a success counts as recent. It is about the duration of the longest work item of the platform's
     * sites, 5.2 s, so that a busy server still counts.
     */
    private static final Duration PROVEN_WINDOW = Duration.ofSeconds(5);

    private final JobConfiguration configuration;
    private final TeamLimits teamLimits;
    private final TicketCache ticketCache;
    private final Predicate<TrackedServer> holdsRunsLonger;
    private final LocalityRound locality;
    private final long nowNanos;
    private final BiConsumer<WorkItem, TrackedServer> start;
    private final Map<String, List<TrackedServer>> byPool = new HashMap<>();
    /** Amounts that did not fit on any server of a list; free capacity only decreases within a round. */
    private final Map<List<TrackedServer>, List<Resources>> unplaceableAmounts = new IdentityHashMap<>();

    PlacementRound(
            JobConfiguration configuration,
            RunRegistry runRegistry,
            TeamLimits teamLimits,
            TicketCache ticketCache,
            Predicate<TrackedServer> usable,
            Predicate<TrackedServer> holdsRunsLonger,
            LocalityRound locality,
            long nowNanos,
            BiConsumer<WorkItem, TrackedServer> start) {
        this.ticketCache = ticketCache;
        this.configuration = configuration;
        this.teamLimits = teamLimits;
        this.holdsRunsLonger = holdsRunsLonger;
        this.locality = locality;
        this.start = start;
        this.nowNanos = nowNanos;
        for (TrackedServer server : runRegistry.servers()) {
            if (server.listing().isPresent() && usable.test(server)) {
                byPool.computeIfAbsent(server.listing().get().pool(), pool -> new ArrayList<>())
                        .add(server);
            }
        }
    }

    /** Starts all waiting work items that fit, in the given order of the jobs. */
    void place(Collection<ActiveJob> orderedJobs) {
        for (ActiveJob job : orderedJobs) {
            JobQueue queue = configuration.queues().get(job.submission().queue());
            if (queue != null && job.isOpen()) {
                List<TrackedServer> servers = byPool.getOrDefault(queue.pool(), List.of());
                job.forEachReadyStep(step -> {
                    if (queue.advice().isPresent()) {
                        placeWithTickets(job, queue, step, servers);
                    } else {
                        place(job, step, servers);
                    }
                });
            }
        }
        ticketCache.requestNext();
    }

    /** Places a step on servers with a ticket, and asks for further tickets if some of it waits for them. */
    private void placeWithTickets(ActiveJob job, JobQueue queue, List<WorkItem> step, List<TrackedServer> servers) {
        if (step.stream().noneMatch(WorkItem::isWaiting)) {
            return;
        }
        String name = step.get(0).id().stepName();
        List<TrackedServer> eligible = servers.stream()
                .filter(server -> hasRequiredLabel(step.get(0), server))
                .toList();
        place(
                job,
                step,
                eligible.stream()
                        .filter(server -> ticketCache.allowsPlacement(name, server.incarnation()))
                        .toList());
        List<WorkItem> waiting = step.stream().filter(WorkItem::isWaiting).toList();
        if (!waiting.isEmpty() && teamLimits.allowStart(job, step)) {
            StepSpec spec = step.get(0).spec();
            Optional<String> rack = locality.preferredRack(step, eligible);
            ticketCache.addNeed(new TicketNeed(
                    queue.name(),
                    queue.advice().orElseThrow(),
                    name,
                    eligible,
                    server -> spec.reserved().fitsInto(server.free())
                            && waiting.stream().anyMatch(item -> mayRun(item, step, server)),
                    server -> preference(waiting.get(0), rack, server),
                    spec,
                    waiting.size()));
        }
    }

    /** Returns how much a server is preferred for a work item if the advice service allows it. */
    private static double preference(WorkItem item, Optional<String> rack, TrackedServer server) {
        BackendServer listing = server.listing().orElseThrow();
        if (item.failedOn(listing.id()) || server.hasFailuresSinceSuccess() || server.slowdown() > 1) {
            return SUSPECT_PREFERENCE;
        }
        return rack.isPresent() && !listing.labels().contains(rack.get()) ? OTHER_RACK_PREFERENCE : 1;
    }

    private void place(ActiveJob job, List<WorkItem> step, List<TrackedServer> servers) {
        StepSpec spec = step.get(0).spec();
        if (spec.gang()) {
            placeGang(job, step, servers);
            return;
        }
        if (step.stream().noneMatch(WorkItem::isWaiting) || isKnownNotToFit(servers, spec.reserved())) {
            return;
        }
        Optional<String> rack = locality.preferredRack(step, servers);
        Optional<NearPlaces> places = rack.filter(name -> locality.mayWait(step) && hasRoom(servers, spec.reserved()))
                .map(name -> locality.nearPlaces(step, name, servers, server -> isBetterThanOtherRacks(step, server)));
        for (WorkItem item : step) {
            boolean mayStart = item.isWaiting() && teamLimits.allowStart(job, step);
            if (mayStart && places.filter(near -> near.waits(item)).isEmpty()) {
                chooseServer(item, step, rack, servers).ifPresent(server -> {
                    start.accept(item, server);
                    locality.onStarted(item, rack, server);
                });
            }
        }
    }

    private boolean isBetterThanOtherRacks(List<WorkItem> step, TrackedServer server) {
        WorkItem item = step.get(0);
        return mayRun(item, step, server) && cost(item, step, Optional.empty(), server) < OTHER_RACK_COST;
    }

    private boolean hasRoom(List<TrackedServer> servers, Resources amount) {
        for (TrackedServer server : servers) {
            if (amount.fitsInto(server.free())) {
                return true;
            }
        }
        unplaceableAmounts.computeIfAbsent(servers, key -> new ArrayList<>()).add(amount);
        return false;
    }

    /** Starts all members of a gang or none, after finding a server for each member. */
    private void placeGang(ActiveJob job, List<WorkItem> step, List<TrackedServer> servers) {
        boolean canStart = step.stream().allMatch(WorkItem::isWaiting) && teamLimits.allowStart(job, step);
        if (!canStart) {
            return;
        }
        Optional<List<TrackedServer>> placed =
                locality.placeGang(step, servers, candidates -> assignGang(step, candidates));
        if (placed.isEmpty()) {
            return;
        }
        List<TrackedServer> chosen = placed.get();
        for (int i = 0; i < chosen.size(); i++) {
            start.accept(step.get(i), chosen.get(i));
        }
        locality.onGangStarted(step, chosen);
    }

    /** Returns a server for each member of a gang; empty if not all fit. */
    private static Optional<List<TrackedServer>> assignGang(List<WorkItem> step, List<TrackedServer> servers) {
        Map<TrackedServer, Integer> assigned = new HashMap<>();
        List<TrackedServer> chosen = new ArrayList<>();
        StepSpec spec = step.get(0).spec();
        for (WorkItem item : step) {
            Optional<TrackedServer> server = servers.stream()
                    .filter(s -> s.listing().isPresent() && hasRequiredLabel(item, s))
                    .filter(s -> spec.maxPerServer() == 0 || assigned.getOrDefault(s, 0) < spec.maxPerServer())
                    .filter(s -> spec.reserved()
                            .times(assigned.getOrDefault(s, 0) + 1)
                            .fitsInto(s.free()))
                    .max(Comparator.comparingInt(s -> assigned.getOrDefault(s, 0)));
            if (server.isEmpty()) {
                return Optional.empty();
            }
            assigned.merge(server.get(), 1, Integer::sum);
            chosen.add(server.get());
        }
        return Optional.of(chosen);
    }

    /** Returns the server with the lowest cost that may run a work item and has enough free capacity. */
    private Optional<TrackedServer> chooseServer(
            WorkItem item, List<WorkItem> step, Optional<String> rack, List<TrackedServer> servers) {
        StepSpec spec = item.spec();
        if (isKnownNotToFit(servers, spec.reserved())) {
            return Optional.empty();
        }
        TrackedServer best = null;
        boolean anyFits = false;
        double bestCost = Double.MAX_VALUE;
        for (TrackedServer server : servers) {
            if (!spec.reserved().fitsInto(server.free())) {
                continue;
            }
            anyFits = true;
            if (!mayRun(item, step, server)) {
                continue;
            }
            double cost = cost(item, step, rack, server);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        if (!anyFits) {
            unplaceableAmounts
                    .computeIfAbsent(servers, key -> new ArrayList<>())
                    .add(spec.reserved());
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether a server satisfies the conditions of a work item, apart from its amount of resources. */
    private static boolean mayRun(WorkItem item, List<WorkItem> step, TrackedServer server) {
        int maxPerServer = item.spec().maxPerServer();
        return hasRequiredLabel(item, server)
                && copiesOn(item, server) == 0
                && (maxPerServer == 0 || runsOnServer(step, server) < maxPerServer);
    }

    /** Returns whether an amount is at least as large as one that did not fit on any of these servers in this round. */
    private boolean isKnownNotToFit(List<TrackedServer> servers, Resources amount) {
        for (Resources refused : unplaceableAmounts.getOrDefault(servers, List.of())) {
            if (refused.fitsInto(amount)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a server has the label that a work item requires, if any. */
    static boolean hasRequiredLabel(WorkItem item, TrackedServer server) {
        BackendServer listing = server.listing().orElseThrow();
        Optional<String> label = item.spec().label();
        return label.isEmpty() || listing.labels().contains(label.get());
    }

    private static int runsOnServer(List<WorkItem> step, TrackedServer server) {
        int count = 0;
        for (WorkItem item : step) {
            if (item.run().isPresent() && item.run().get().incarnation().equals(server.incarnation())) {
                count++;
            }
            count += copiesOn(item, server);
        }
        return count;
    }

    private static int copiesOn(WorkItem item, TrackedServer server) {
        int count = 0;
        for (Run copy : item.copies()) {
            count += copy.incarnation().equals(server.incarnation()) ? 1 : 0;
        }
        return count;
    }

    /** Returns the cost of running a work item on a server; the server with the lowest cost is chosen. */
    private double cost(WorkItem item, List<WorkItem> step, Optional<String> rack, TrackedServer server) {
        BackendServer listing = server.listing().orElseThrow();
        StepSpec spec = item.spec();
        double cost = 0;
        if (item.failedOn(listing.id())) {
            cost += 1000;
        }
        if (rack.isPresent() && !listing.labels().contains(rack.get())) {
            cost += OTHER_RACK_COST;
        }
        if (server.hasFailuresSinceSuccess()) {
            cost += RECENT_FAILURE_COST;
        }
        if (item.failures() > 0 && !server.succeededWithin(PROVEN_WINDOW, nowNanos)) {
            cost += UNPROVEN_COST;
        }
        if (server.slowdown() > 1) {
            cost += RECENTLY_SLOW_COST;
        }
        if (holdsRunsLonger.test(server)) {
            cost += LONG_HOLD_COST;
        }
        double freeShare = server.free().cpuMillis()
                / (double) Math.max(1, listing.capacity().cpuMillis());
        if (spec.longRunning()) {
            cost += 10 * runsOnRack(step, listing) + interference(spec, server) * 5 + (1 - freeShare);
            cost += locality.costOfDemand(listing);
        } else {
            cost += freeShare;
        }
        return cost;
    }

    private static int runsOnRack(List<WorkItem> step, BackendServer listing) {
        // The rack of a run is that of its server; runs on the same server count as on the same rack.
        int count = 0;
        for (WorkItem item : step) {
            if (item.run().isPresent() && item.run().get().rack().equals(listing.rack())) {
                count++;
            }
        }
        return count;
    }

    /** Returns the weighted number of runs on a server that would interfere with a work item of this step. */
    private static int interference(StepSpec spec, TrackedServer server) {
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
