package org.basilswitch.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the configuration of queues, teams and pools that jobs depend on.
 *
 * @param version version that the operator assigned
 * @param queues queues by name
 * @param teams teams by name
 * @param pools pools by name
 * @param maxHeaderBytes largest request head, bytes
 * @param maxBodyBytes largest request body, bytes
 */
public record JobConfiguration(
        long version,
        Map<String, JobQueue> queues,
        Map<String, JobTeam> teams,
        Map<String, JobPool> pools,
        int maxHeaderBytes,
        int maxBodyBytes) {

    /** Creates a configuration from lists; of several elements with the same name, the last one is kept. */
    public static JobConfiguration of(
            long version,
            List<JobQueue> queues,
            List<JobTeam> teams,
            List<JobPool> pools,
            int maxHeaderBytes,
            int maxBodyBytes) {
        return new JobConfiguration(
                version,
                byName(queues, JobQueue::name),
                byName(teams, JobTeam::name),
                byName(pools, JobPool::name),
                maxHeaderBytes,
                maxBodyBytes);
    }

    private static <T> Map<String, T> byName(List<T> values, Function<T, String> name) {
        return values.stream().collect(Collectors.toUnmodifiableMap(name, value -> value, (first, second) -> second));
    }

    /** Returns the team that an API key belongs to; empty for an unknown key. */
    public Optional<JobTeam> findTeamByKey(String key) {
        return teams.values().stream().filter(team -> team.keys().contains(key)).findFirst();
    }

    /** Returns the standby pool, whose hosts are switched off; empty if there is none. */
    public Optional<JobPool> standbyPool() {
        return pools.values().stream().filter(JobPool::standby).findFirst();
    }
}
