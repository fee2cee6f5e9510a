package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;

/**
 * Size and timing of a virtual fleet.
 *
 * @param entryHosts number of entry hosts
 * @param services number of services, each with one queue and one pool
 * @param serversPerPool number of backend servers of a pool
 * @param slots number of slots of a backend server
 * @param zones number of availability zones
 * @param teamWeights share weights of the teams
 * @param meanService mean service time
 * @param deadline deadline of each request
 * @param zoneDelay one-way delay between availability zones
 * @param localDelay one-way delay within an availability zone
 * @param heartbeatInterval time between usage reports to each peer
 * @param idempotent whether the queues' requests are idempotent
 */
public record VirtualFleetSpec(
        int entryHosts,
        int services,
        int serversPerPool,
        int slots,
        int zones,
        List<Integer> teamWeights,
        Duration meanService,
        Duration deadline,
        Duration zoneDelay,
        Duration localDelay,
        Duration heartbeatInterval,
        boolean idempotent) {
    private static final int CONNECTIONS = 64;
    private static final int QUEUED_LIMIT = 200;
    private static final int BODY_LIMIT_BYTES = 1 << 20;
    private static final long CLAIM_TIME_MS = 60_000;
    private static final int PROCESSORS = 64;
    private static final long MEMORY_BYTES = 256L << 30;
    private static final int TEAM_LIMIT_TASKS = 100_000;

    /** Returns the scale of today's sites: 4 zones 1.5 ms apart, 5 services, 8 servers of 8 slots each, 6 teams. */
    public static VirtualFleetSpec ofCurrentScale(int entryHosts) {
        return new VirtualFleetSpec(
                entryHosts,
                5,
                8,
                8,
                4,
                List.of(4, 3, 1, 1, 1, 1),
                Duration.ofMillis(200),
                Duration.ofSeconds(2),
                Duration.ofNanos(1_500_000),
                Duration.ofNanos(200_000),
                Duration.ofMillis(250),
                true);
    }

    /** Returns this spec with another number of services. */
    public VirtualFleetSpec withServices(int count) {
        return new VirtualFleetSpec(
                entryHosts,
                count,
                serversPerPool,
                slots,
                zones,
                teamWeights,
                meanService,
                deadline,
                zoneDelay,
                localDelay,
                heartbeatInterval,
                idempotent);
    }

    /** Returns this spec with another time between usage reports. */
    public VirtualFleetSpec withHeartbeatInterval(Duration interval) {
        return new VirtualFleetSpec(
                entryHosts,
                services,
                serversPerPool,
                slots,
                zones,
                teamWeights,
                meanService,
                deadline,
                zoneDelay,
                localDelay,
                interval,
                idempotent);
    }

    /** Returns this spec with another mean service time and deadline. */
    public VirtualFleetSpec withService(Duration mean, Duration limit) {
        return new VirtualFleetSpec(
                entryHosts,
                services,
                serversPerPool,
                slots,
                zones,
                teamWeights,
                mean,
                limit,
                zoneDelay,
                localDelay,
                heartbeatInterval,
                idempotent);
    }

    /** Returns the fleet's configuration records, without the teams' keys. */
    public List<ConfigurationRecord> records() {
        List<ConfigurationRecord> records = new ArrayList<>();
        for (int service = 0; service < services; service++) {
            records.add(new Pool(pool(service), 1, false));
            records.add(new Queue(
                    queue(service),
                    pool(service),
                    false,
                    idempotent,
                    CLAIM_TIME_MS,
                    deadline.toMillis(),
                    BODY_LIMIT_BYTES,
                    QUEUED_LIMIT));
            for (int server = 0; server < serversPerPool; server++) {
                records.add(server(service, server));
            }
        }
        for (int team = 0; team < teamWeights.size(); team++) {
            records.add(new Team(team(team), teamWeights.get(team), TEAM_LIMIT_TASKS));
        }
        return records;
    }

    private Host server(int service, int server) {
        return new Host(
                pool(service) + "-" + server,
                "127.0.0.1:9000",
                zone(server % zones),
                "rack-" + server / 4,
                pool(service),
                HostState.ACTIVE,
                slots,
                CONNECTIONS,
                PROCESSORS,
                MEMORY_BYTES,
                0);
    }

    /** Returns the name of the zone at an index. */
    public static String zone(int index) {
        return "zone-" + index;
    }

    /** Returns the name of the pool at an index. */
    public static String pool(int index) {
        return "pool-" + index;
    }

    /** Returns the name of the queue at an index. */
    public static String queue(int index) {
        return "queue-" + index;
    }

    /** Returns the name of the team at an index. */
    public static String team(int index) {
        return "team-" + index;
    }

    /** Returns the throughput of a pool whose slots are all busy, in requests per second. */
    public double capacityPerSecond() {
        return serversPerPool * slots / (meanService.toNanos() / 1e9);
    }
}
