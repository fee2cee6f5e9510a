package org.basilswitch.administration;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;
import org.basilswitch.membership.Member;

/**
 * Summary of the fleet as one entry host sees it.
 *
 * @param site name of the site
 * @param answeredBy name of the entry host that created the summary
 * @param ready whether that entry host accepts requests
 * @param openRequests number of requests open at that entry host
 * @param revision revision of that entry host's configuration
 * @param entryHosts entry hosts in the members record
 * @param pools pools with their hosts by state
 * @param teams teams with their shares and limits
 * @param queues queues
 * @param waves maintenance waves
 */
public record FleetStatus(
        String site,
        String answeredBy,
        boolean ready,
        int openRequests,
        long revision,
        List<EntryHostStatus> entryHosts,
        List<PoolStatus> pools,
        List<TeamStatus> teams,
        List<QueueStatus> queues,
        List<WaveStatus> waves) {

    /** An entry host in the members record. */
    public record EntryHostStatus(String name, String zone, String peerAddress) {}

    /** A pool with the number of its hosts in each state. */
    public record PoolStatus(
            String name, boolean spare, int minAvailableHosts, int hosts, Map<HostState, Integer> hostsByState) {}

    /** A team with the number of its keys. */
    public record TeamStatus(String name, int shareWeight, int limitTasks, int keys) {}

    /** A queue with its main settings. */
    public record QueueStatus(String name, String pool, boolean openToAll, boolean idempotent, long deadlineMs) {}

    /** A maintenance wave with its progress. */
    public record WaveStatus(String name, MaintenanceWave.Phase phase, int doneHosts, int hosts, String haltReason) {}

    /** Creates the summary of an entry host's view. */
    public static FleetStatus of(
            String site,
            Member self,
            boolean ready,
            int openRequests,
            List<Member> members,
            SiteConfiguration configuration) {
        return new FleetStatus(
                site,
                self.name(),
                ready,
                openRequests,
                configuration.revision(),
                members.stream()
                        .map(member -> new EntryHostStatus(member.name(), member.zone(), member.peerAddress()))
                        .sorted(Comparator.comparing(EntryHostStatus::name))
                        .toList(),
                sortedStatuses(configuration.pools().values(), pool -> poolStatus(configuration, pool)),
                sortedStatuses(configuration.teams().values(), team -> teamStatus(configuration, team)),
                sortedStatuses(configuration.queues().values(), FleetStatus::queueStatus),
                sortedStatuses(configuration.waves().values(), FleetStatus::waveStatus));
    }

    private static <T extends ConfigurationRecord, S> List<S> sortedStatuses(
            Collection<T> records, Function<T, S> toStatus) {
        return records.stream()
                .sorted(Comparator.comparing(ConfigurationRecord::name))
                .map(toStatus)
                .toList();
    }

    private static PoolStatus poolStatus(SiteConfiguration configuration, Pool pool) {
        List<Host> hosts = configuration.hostsOf(pool.name());
        Map<HostState, Integer> byState = new LinkedHashMap<>();
        Arrays.stream(HostState.values()).forEach(state -> byState.put(state, 0));
        hosts.forEach(host -> byState.merge(host.state(), 1, Integer::sum));
        return new PoolStatus(pool.name(), pool.spare(), pool.minAvailableHosts(), hosts.size(), byState);
    }

    private static TeamStatus teamStatus(SiteConfiguration configuration, Team team) {
        long keys = configuration.keys().values().stream()
                .filter(key -> key.team().equals(team.name()))
                .count();
        return new TeamStatus(team.name(), team.shareWeight(), team.limitTasks(), Math.toIntExact(keys));
    }

    private static QueueStatus queueStatus(Queue queue) {
        return new QueueStatus(queue.name(), queue.pool(), queue.openToAll(), queue.idempotent(), queue.deadlineMs());
    }

    private static WaveStatus waveStatus(MaintenanceWave wave) {
        return new WaveStatus(
                wave.name(), wave.phase(), wave.done().size(), wave.hosts().size(), wave.haltReason());
    }
}
