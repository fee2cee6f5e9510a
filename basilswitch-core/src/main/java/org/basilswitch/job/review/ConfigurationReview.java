package org.basilswitch.job.review;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;

/** Looks for elements of a configuration that can never match, and for limits that contradict each other. */
public final class ConfigurationReview {
    private final JobConfiguration configuration;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    private ConfigurationReview(JobConfiguration configuration) {
        this.configuration = configuration;
    }

    /** Returns the findings, ordered by element. */
    public static List<ConfigurationFinding> of(JobConfiguration configuration) {
        ConfigurationReview review = new ConfigurationReview(configuration);
        review.reviewQueues();
        review.reviewPools();
        review.reviewTeams();
        return review.findings.stream()
                .sorted(Comparator.comparing(ConfigurationFinding::element).thenComparing(ConfigurationFinding::text))
                .toList();
    }

    private void unreachable(String element, String text) {
        findings.add(new ConfigurationFinding.Unreachable(element, text));
    }

    private void contradiction(String element, String text) {
        findings.add(new ConfigurationFinding.Contradiction(element, text));
    }

    private void reviewQueues() {
        Map<String, String> queueByAddress = new HashMap<>();
        List<JobQueue> queues = configuration.queues().values().stream()
                .sorted(Comparator.comparing(JobQueue::name))
                .toList();
        boolean anyKey = configuration.teams().values().stream()
                .anyMatch(team -> !team.keys().isEmpty());
        for (JobQueue queue : queues) {
            String element = "queue " + queue.name();
            String address = queue.host().toLowerCase(Locale.ROOT) + " " + queue.pathPrefix();
            String other = queueByAddress.putIfAbsent(address, queue.name());
            if (other != null) {
                unreachable(element, "has the host and prefix of queue " + other + "; only one of the two is called");
            }
            if (!queue.pathPrefix().startsWith("/")) {
                unreachable(element, "prefix \"" + queue.pathPrefix() + "\" does not begin with /, as each path does");
            }
            if (!queue.open() && !anyKey) {
                unreachable(element, "requires a key, and no team has one");
            }
            reviewPoolOf(queue, element);
            if (queue.stretchFactor() < 1 && queue.targetMs() == 0) {
                contradiction(
                        element,
                        "stretch factor " + queue.stretchFactor() + " without a target time: each job ends late");
            }
        }
    }

    private void reviewPoolOf(JobQueue queue, String element) {
        JobPool pool = configuration.pools().get(queue.pool());
        if (pool == null) {
            unreachable(element, "pool " + queue.pool() + " is not configured: jobs are accepted and never run");
        } else if (pool.standby()) {
            unreachable(element, "pool " + queue.pool() + " is in standby: its hosts are off and run nothing");
        }
    }

    private void reviewPools() {
        Set<String> used =
                configuration.queues().values().stream().map(JobQueue::pool).collect(Collectors.toSet());
        List<String> standby = new ArrayList<>();
        for (JobPool pool : configuration.pools().values()) {
            if (pool.standby()) {
                standby.add(pool.name());
            } else if (!used.contains(pool.name())) {
                unreachable("pool " + pool.name(), "no queue runs work there");
            }
        }
        if (standby.size() > 1) {
            standby.sort(Comparator.naturalOrder());
            contradiction("pool " + standby.get(0), "several pools are in standby, one is used: " + standby);
        }
    }

    private void reviewTeams() {
        Map<String, String> teamByKey = new HashMap<>();
        boolean keyRequired = configuration.queues().values().stream().anyMatch(queue -> !queue.open());
        List<JobTeam> teams = configuration.teams().values().stream()
                .sorted(Comparator.comparing(JobTeam::name))
                .toList();
        for (JobTeam team : teams) {
            String element = "team " + team.name();
            if (team.keys().isEmpty() && keyRequired) {
                unreachable(element, "has no key: no call can be made for it");
            }
            for (String key : team.keys()) {
                String other = teamByKey.putIfAbsent(key, team.name());
                if (other != null) {
                    contradiction(
                            element, "shares a key with team " + other + "; calls with it count for one of the two");
                }
            }
            if (team.weight() == 0) {
                contradiction(element, "weight 0: it has no share while its pools are full, whatever its limit");
            }
            reviewLimit(team, element);
        }
    }

    private void reviewLimit(JobTeam team, String element) {
        Resources limit = team.limit();
        boolean one = limit.cpuMillis() > 0 || limit.memoryMb() > 0;
        boolean both = limit.cpuMillis() > 0 && limit.memoryMb() > 0;
        if (limit.cpuMillis() < 0) {
            unreachable(element, "its limit can't be read: it may run nothing");
        } else if (limit.gpus() > 0 && !one) {
            contradiction(element, "limits accelerators, but neither processors nor memory");
        } else if (both && limit.cpuMillis() > 1000 * limit.memoryMb()) {
            contradiction(
                    element,
                    "limit of " + limit.memoryMb() + " MB leaves less than 1 MB for each of its "
                            + limit.cpuMillis() / 1000 + " cores");
        }
    }
}
