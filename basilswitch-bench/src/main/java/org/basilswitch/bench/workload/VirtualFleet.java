package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.admission.KeyAuthenticator;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.dispatch.RequestSpec;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.time.SimulatedTime;

/** Simulated fleet of entry hosts, which run the brokers of the core, with workers and callers on one virtual clock. */
public final class VirtualFleet {
    private final SimulatedTime time = SimulatedTime.create();
    private final VirtualFleetSpec spec;
    private final UniformRandomProvider random;
    private final Map<String, VirtualWorker> workers = new HashMap<>();
    private final List<VirtualEntryHost> entryHosts = new ArrayList<>();
    private final RunCounters counters = new RunCounters();
    private final Map<String, Outcomes> outcomesByTeam = new HashMap<>();
    private final Outcomes outcomes = new Outcomes();
    private final Map<Integer, Integer> entryHostCountByTeam = new HashMap<>();
    private SiteConfiguration configuration;

    private VirtualFleet(VirtualFleetSpec spec, long seed) {
        this.spec = spec;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Creates a fleet whose entry hosts use the policies of a variant. */
    public static VirtualFleet create(VirtualFleetSpec spec, Variant variant, long seed) {
        VirtualFleet fleet = new VirtualFleet(spec, seed);
        fleet.configuration = SiteConfiguration.of(1, fleet.records());
        fleet.createWorkers();
        fleet.createEntryHosts(variant, seed);
        return fleet;
    }

    private List<ConfigurationRecord> records() {
        List<ConfigurationRecord> records = new ArrayList<>(spec.records());
        for (int team = 0; team < spec.teamWeights().size(); team++) {
            String hash = KeyAuthenticator.hash(Optional.of(secret(team))).orElseThrow();
            records.add(new TeamKey("key-" + team, VirtualFleetSpec.team(team), hash));
        }
        return records;
    }

    private static String secret(int team) {
        return "secret-" + team;
    }

    private void createWorkers() {
        for (Host host : configuration.hosts().values()) {
            workers.put(host.name(), new VirtualWorker(host.slots(), spec.meanService(), time, random));
        }
    }

    private void createEntryHosts(Variant variant, long seed) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < spec.entryHosts(); i++) {
            String name = "entry-" + i;
            members.add(new Member(new MemberId(name), name, "127.0.0.1:1", VirtualFleetSpec.zone(i % spec.zones())));
        }
        for (int i = 0; i < members.size(); i++) {
            UniformRandomProvider hostRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + i);
            entryHosts.add(new VirtualEntryHost(this, members.get(i), members, variant, hostRandom));
        }
        if (variant.reports()) {
            entryHosts.forEach(VirtualEntryHost::startUsageReports);
        }
    }

    /** Starts the callers of a plan, who submit through entry hosts chosen at random. */
    public void startCallers(LoadPlan plan) {
        for (int service = 0; service < spec.services(); service++) {
            for (int team = 0; team < spec.teamWeights().size(); team++) {
                scheduleArrival(plan, service, team);
            }
        }
    }

    private void scheduleArrival(LoadPlan plan, int service, int team) {
        double seconds = -Math.log(1 - random.nextDouble()) / plan.maxRatePerSecond();
        time.schedule(Duration.ofNanos((long) (seconds * 1e9)), () -> {
            double rate = plan.ratePerSecond(service, team, seconds());
            if (random.nextDouble() * plan.maxRatePerSecond() < rate) {
                submit(service, team, RequestSpec.Priority.NORMAL);
            }
            scheduleArrival(plan, service, team);
        });
    }

    /** Restricts a team's callers to the first {@code hosts} entry hosts. */
    public void limitToFirstEntryHosts(int team, int hosts) {
        entryHostCountByTeam.put(team, hosts);
    }

    /** Submits one request of a team to a service's queue through an entry host chosen at random. */
    public void submit(int service, int team, RequestSpec.Priority priority) {
        RequestSpec request = new RequestSpec(
                VirtualFleetSpec.queue(service),
                Optional.of(secret(team)),
                Optional.empty(),
                Optional.of(spec.deadline()),
                priority);
        int hosts = entryHostCountByTeam.getOrDefault(team, entryHosts.size());
        VirtualEntryHost host = entryHosts.get(random.nextInt(hosts));
        VirtualCaller caller = new VirtualCaller(this, host, VirtualFleetSpec.team(team));
        host.broker().submit(request, caller);
    }

    /** Advances virtual time. */
    public void run(Duration duration) {
        time.runFor(duration);
    }

    /** Returns the virtual time since the start, in seconds. */
    public double seconds() {
        return time.monotonicNanos() / 1e9;
    }

    /** Returns the number of requests of a team that are running at the workers of a service's pool. */
    public int running(int service, int team) {
        int running = 0;
        for (Host host : configuration.hostsOf(VirtualFleetSpec.pool(service))) {
            running += workers.get(host.name()).running(VirtualFleetSpec.team(team));
        }
        return running;
    }

    /** Returns the worker of a service's pool at an index from 0. */
    public VirtualWorker worker(int service, int index) {
        return workers.get(VirtualFleetSpec.pool(service) + "-" + index);
    }

    /** Returns all workers. */
    public Iterable<VirtualWorker> workers() {
        return workers.values();
    }

    VirtualWorker worker(String name) {
        return workers.get(name);
    }

    /** Returns the outcomes of all requests. */
    public Outcomes outcomes() {
        return outcomes;
    }

    /** Returns the outcomes of a team's requests. */
    public Outcomes outcomes(int team) {
        return outcomes(VirtualFleetSpec.team(team));
    }

    Outcomes outcomes(String team) {
        return outcomesByTeam.computeIfAbsent(team, name -> new Outcomes());
    }

    /** Returns the counters of the brokers and of the attempts sent. */
    public RunCounters counters() {
        return counters;
    }

    /** Returns the mean rate of usage reports that an entry host sent, in bytes per second without message headers. */
    public double reportBytesPerSecond() {
        double bytes =
                entryHosts.stream().mapToLong(VirtualEntryHost::reportBytes).sum();
        return bytes / entryHosts.size() / seconds();
    }

    VirtualFleetSpec spec() {
        return spec;
    }

    SimulatedTime time() {
        return time;
    }

    SiteConfiguration configuration() {
        return configuration;
    }

    VirtualEntryHost entryHost(MemberId id) {
        return entryHosts.stream()
                .filter(host -> host.member().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    Duration delay(String fromZone, String toZone) {
        return fromZone.equals(toZone) ? spec.localDelay() : spec.zoneDelay();
    }
}
