package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.locality.DelayScheduling;
import org.basilswitch.locality.PoolRoom;
import org.basilswitch.locality.RackOutlook;
import org.basilswitch.locality.ServerOutlook;

/** Finds racks near an item's data or group in one placement round, and decides which items wait for a place there. */
final class LocalityRound {
    private static final double NANOS_PER_MS = 1e6;
    /** Cost of a rack whose data is in full demand to long-running work; less than that of a second run on one rack. */
    private static final double DEMANDED_RACK_COST = 4;

    private final LocalityPolicy policy;
    private final JobConfiguration configuration;
    private final Collection<ActiveJob> orderedJobs;
    private final long nowNanos;
    private final boolean effective;
    private final Map<List<TrackedServer>, Map<String, List<TrackedServer>>> serversByRack = new IdentityHashMap<>();
    private final Map<TrackedServer, ServerOutlook> outlooks = new IdentityHashMap<>();
    private final Map<List<WorkItem>, Optional<String>> rackOfGroup = new IdentityHashMap<>();
    private final Map<String, PoolRoom> roomByPool = new HashMap<>();
    private final Map<ActiveJob, Double> waitingCores = new IdentityHashMap<>();
    private Map<String, Double> coresByRack = Map.of();

    LocalityRound(
            LocalityPolicy policy, JobConfiguration configuration, Collection<ActiveJob> orderedJobs, long nowNanos) {
        this.policy = policy;
        this.configuration = configuration;
        this.orderedJobs = orderedJobs;
        this.nowNanos = nowNanos;
        this.effective = policy.remoteFactor().isEffective();
    }

    /** Returns the rack on which the items of a step run faster than elsewhere, if any. */
    Optional<String> preferredRack(List<WorkItem> step, List<TrackedServer> servers) {
        StepSpec spec = step.get(0).spec();
        if (spec.rackOfData().isPresent() || !effective || !spec.tightlyCoupled()) {
            return spec.rackOfData();
        }
        return rackOfGroup.computeIfAbsent(step, key -> chooseGroupRack(step, servers));
    }

    private Optional<String> chooseGroupRack(List<WorkItem> step, List<TrackedServer> servers) {
        Set<Optional<String>> used = step.stream()
                .flatMap(item -> item.run().stream())
                .map(policy::rack)
                .collect(Collectors.toSet());
        if (!used.isEmpty()) {
            return used.size() == 1 ? used.iterator().next() : Optional.empty();
        }
        double earliestMs = Double.POSITIVE_INFINITY;
        Optional<String> earliest = Optional.empty();
        for (Map.Entry<String, List<TrackedServer>> rack : racks(step, servers).entrySet()) {
            double inMs = groupFreeInMs(step, rack.getValue());
            if (inMs < earliestMs) {
                earliestMs = inMs;
                earliest = Optional.of(rack.getKey());
            }
        }
        return earliest;
    }

    /** Returns the servers that may run a step by rack; the rack whose data is least in demand comes first. */
    private Map<String, List<TrackedServer>> racks(List<WorkItem> step, List<TrackedServer> servers) {
        Map<String, List<TrackedServer>> byRack = new HashMap<>();
        for (TrackedServer server : servers) {
            Optional<String> rack = server.listing().flatMap(BackendServer::rack);
            if (rack.isPresent() && PlacementRound.hasRequiredLabel(step.get(0), server)) {
                byRack.computeIfAbsent(rack.get(), key -> new ArrayList<>()).add(server);
            }
        }
        Map<String, List<TrackedServer>> sorted = new LinkedHashMap<>();
        byRack.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, List<TrackedServer>>>comparingDouble(
                                rack -> policy.demand().cores(rack.getKey(), nowNanos))
                        .thenComparing(Map.Entry.comparingByKey()))
                .forEach(rack -> sorted.put(rack.getKey(), rack.getValue()));
        return sorted;
    }

    /** Returns whether items of a step may wait for a place. */
    boolean mayWait(List<WorkItem> step) {
        return effective && !step.get(0).spec().longRunning();
    }

    /**
     * Returns the places near a step's data or group.
     *
     * @param eligible returns whether a server there would be chosen before those on other racks if it had room
     */
    NearPlaces nearPlaces(
            List<WorkItem> step, String rack, List<TrackedServer> servers, Predicate<TrackedServer> eligible) {
        List<TrackedServer> near = serversByRack
                .computeIfAbsent(servers, key -> new HashMap<>())
                .computeIfAbsent(
                        rack,
                        name -> servers.stream()
                                .filter(server -> isOn(name, server))
                                .toList())
                .stream()
                .filter(eligible)
                .toList();
        int slowedItems = step.get(0).spec().rackOfData().isPresent() ? 1 : step.size();
        return new NearPlaces(policy, near, outlook(near), choice(step.get(0), servers, slowedItems), nowNanos);
    }

    /**
     * Returns servers for all members of a gang, on one rack if possible; empty if there is no room, or if the gang waits
     * for a rack.
     *
     * @param assign assigns servers of a list to all members, if they fit
     */
    Optional<List<TrackedServer>> placeGang(
            List<WorkItem> step,
            List<TrackedServer> servers,
            Function<List<TrackedServer>, Optional<List<TrackedServer>>> assign) {
        if (!effective) {
            return assign.apply(servers);
        }
        StepSpec spec = step.get(0).spec();
        Map<String, List<TrackedServer>> racks = racks(step, servers);
        spec.rackOfData().ifPresent(rack -> racks.keySet().retainAll(Set.of(rack)));
        for (List<TrackedServer> rack : racks.values()) {
            Optional<List<TrackedServer>> assigned = assign.apply(rack);
            if (assigned.isPresent()) {
                return assigned;
            }
        }
        Optional<List<TrackedServer>> spread = assign.apply(servers);
        boolean slowerSpread = spec.tightlyCoupled() || spec.rackOfData().isPresent();
        if (spread.isEmpty() || !slowerSpread || spec.longRunning()) {
            return spread;
        }
        double inMs = racks.values().stream()
                .mapToDouble(rack -> groupFreeInMs(step, rack))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        DelayScheduling.Choice choice = choice(step.get(0), servers, step.size());
        if (!policy.after(choice, step.get(0), inMs, nowNanos).waits()) {
            return spread;
        }
        step.forEach(member -> policy.onWait(member, inMs, nowNanos));
        return Optional.empty();
    }

    /** Records the start of an item. */
    void onStarted(WorkItem item, Optional<String> rack, TrackedServer server) {
        ServerOutlook outlook = outlooks.isEmpty() ? null : outlooks.get(server);
        if (outlook != null) {
            outlook.reserve(item.spec().reserved(), 0, policy.expectedMs(item));
        }
        if (rack.isPresent()) {
            policy.onStarted(item, isOn(rack.get(), server), nowNanos);
        }
    }

    /** Records the start of a gang. */
    void onGangStarted(List<WorkItem> step, List<TrackedServer> servers) {
        StepSpec spec = step.get(0).spec();
        if (spec.rackOfData().isPresent() || spec.tightlyCoupled()) {
            long racks = servers.stream()
                    .map(server -> server.listing().flatMap(BackendServer::rack))
                    .distinct()
                    .count();
            boolean near = spec.rackOfData()
                    .map(rack -> servers.stream().allMatch(server -> isOn(rack, server)))
                    .orElse(racks == 1);
            step.forEach(member -> policy.onStarted(member, near, nowNanos));
        }
    }

    /** Returns the cost of a server to long-running work that would take room from items whose data is on its rack. */
    double costOfDemand(BackendServer listing) {
        if (!effective || policy.demand().isEmpty() || listing.rack().isEmpty()) {
            return 0;
        }
        return DEMANDED_RACK_COST * load(listing.rack().get());
    }

    /** Returns the demand for a rack's data as a fraction of the processors there. */
    private double load(String rack) {
        if (coresByRack.isEmpty()) {
            coresByRack = new HashMap<>();
            policy.runRegistry()
                    .servers()
                    .forEach(server -> server.listing()
                            .ifPresent(entry -> coresByRack.merge(
                                    entry.rack().orElse(""), entry.capacity().cpuMillis() / 1000.0, Double::sum)));
        }
        return policy.demand().load(rack, coresByRack.getOrDefault(rack, 0.0), nowNanos);
    }

    static boolean isOn(String rack, TrackedServer server) {
        return server.listing()
                .filter(listing -> listing.labels().contains(rack))
                .isPresent();
    }

    /** Returns the choice of an item that has not waited and expects no wait. */
    private DelayScheduling.Choice choice(WorkItem item, List<TrackedServer> servers, int slowedItems) {
        return new DelayScheduling.Choice(
                0,
                policy.expectedMs(item),
                policy.remoteFactor().value(),
                roomWeight(item, servers, slowedItems),
                item.spec().rackOfData().map(this::load).orElse(0.0),
                policy.slackMs(item.job()),
                0);
    }

    private double roomWeight(WorkItem item, List<TrackedServer> servers, int slowedItems) {
        String pool = servers.get(0).listing().orElseThrow().pool();
        PoolRoom room = roomByPool.computeIfAbsent(pool, key -> measureRoom(pool, servers));
        double runCores = slowedItems * item.spec().reserved().cpuMillis() / 1000.0;
        return room.weight(waitingCores.getOrDefault(item.job(), 0.0), runCores);
    }

    private PoolRoom measureRoom(String pool, List<TrackedServer> servers) {
        double cores = 0;
        double freeCores = 0;
        for (TrackedServer server : servers) {
            cores += server.listing().orElseThrow().capacity().cpuMillis() / 1000.0;
            freeCores += server.free().cpuMillis() / 1000.0;
        }
        int waitingJobs = 0;
        double totalCores = 0;
        for (ActiveJob job : orderedJobs) {
            JobQueue queue = configuration.queues().get(job.submission().queue());
            double jobCores = queue != null && queue.pool().equals(pool) && job.isOpen() ? waitingCores(job) : 0;
            waitingJobs += jobCores > 0 ? 1 : 0;
            totalCores += jobCores;
            if (jobCores > 0) {
                waitingCores.put(job, jobCores);
            }
        }
        return new PoolRoom(cores, freeCores, waitingJobs, totalCores);
    }

    private static double waitingCores(ActiveJob job) {
        double[] cores = new double[1];
        job.forEachReadyStep(step -> step.forEach(
                item -> cores[0] += item.isWaiting() ? item.spec().reserved().cpuMillis() / 1000.0 : 0));
        return cores[0];
    }

    private double groupFreeInMs(List<WorkItem> step, List<TrackedServer> servers) {
        StepSpec spec = step.get(0).spec();
        int waiting = (int) step.stream().filter(WorkItem::isWaiting).count();
        return outlook(servers).groupFreeInMs(spec.reserved(), waiting, spec.maxPerServer());
    }

    private RackOutlook outlook(List<TrackedServer> servers) {
        return RackOutlook.of(servers.stream()
                .map(server -> outlooks.computeIfAbsent(server, this::createOutlook))
                .toList());
    }

    private ServerOutlook createOutlook(TrackedServer server) {
        ServerOutlook outlook = ServerOutlook.of(server.free());
        for (Run run : server.runs()) {
            Resources amount = run.item().spec().reserved();
            outlook.addRun(amount, remainingMs(run));
        }
        return outlook;
    }

    /** Returns the expected time to the end of a run, by its progress or else by the duration of its queue's items. */
    private double remainingMs(Run run) {
        if (run.item().spec().longRunning()) {
            return Double.POSITIVE_INFINITY;
        }
        if (run.remainingMs().isPresent()) {
            return run.remainingMs().get();
        }
        double expectedMs = policy.expectedMs(run.item()) * run.expectedSlowdown();
        double elapsedMs = run.startedNanos() > 0 ? (nowNanos - run.startedNanos()) / NANOS_PER_MS : 0;
        // A run that has taken longer than expected may take as long again.
        return elapsedMs < expectedMs ? expectedMs - elapsedMs : expectedMs;
    }
}
