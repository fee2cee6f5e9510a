package org.basilswitch.job.review;

import java.util.List;
import java.util.Set;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class ConfigurationReviewTest {
    private static final JobQueue QUEUE = queue("quotes", "/quotes/", "routes", 1.6);
    private static final JobPool POOL = new JobPool("routes", true, false);
    private static final JobTeam TEAM = team("drivers", 1, new Resources(8000, 32_000, 0), "key-1");

    private static JobQueue queue(String name, String prefix, String pool, double stretchFactor) {
        return new JobQueue(name, "api.example", prefix, pool, 3000, 0, 0, 4, stretchFactor, false, null);
    }

    private static JobTeam team(String name, double weight, Resources limit, String... keys) {
        return new JobTeam(name, Set.of(keys), weight, limit);
    }

    private static JobConfiguration site(List<JobQueue> queues, List<JobTeam> teams, List<JobPool> pools) {
        return JobConfiguration.of(7, queues, teams, pools, 16_384, 262_144);
    }

    @DataProvider
    public Object[][] oddConfigurations() {
        JobPool standby = new JobPool("rest", true, true);
        List<JobPool> pools = List.of(POOL, standby);
        return new Object[][] {
            {site(List.of(QUEUE, queue("quotes-2", "/quotes/", "routes", 1.6)), List.of(TEAM), pools), "queue quotes-2"
            },
            {site(List.of(QUEUE, queue("bare", "bare/", "routes", 1.6)), List.of(TEAM), pools), "queue bare"},
            {site(List.of(QUEUE, queue("lost", "/lost/", "absent", 1.6)), List.of(TEAM), pools), "queue lost"},
            {site(List.of(QUEUE, queue("off", "/off/", "rest", 1.6)), List.of(TEAM), pools), "queue off"},
            {site(List.of(QUEUE, queue("late", "/late/", "routes", 0.5)), List.of(TEAM), pools), "queue late"},
            {site(List.of(QUEUE), List.of(TEAM), List.of(POOL, new JobPool("idle", true, false))), "pool idle"},
            {site(List.of(QUEUE), List.of(TEAM), List.of(POOL, standby, new JobPool("z", true, true))), "pool rest"},
            {site(List.of(QUEUE), List.of(TEAM, team("mute", 1, Resources.NONE)), pools), "team mute"},
            {site(List.of(QUEUE), List.of(TEAM, team("twin", 1, Resources.NONE, "key-1")), pools), "team twin"},
            {site(List.of(QUEUE), List.of(TEAM, team("none", 0, Resources.NONE, "key-2")), pools), "team none"},
            {
                site(List.of(QUEUE), List.of(TEAM, team("thin", 1, new Resources(9000, 5, 0), "key-2")), pools),
                "team thin"
            },
            {site(List.of(QUEUE), List.of(TEAM, team("gpu", 1, new Resources(0, 0, 2), "key-2")), pools), "team gpu"},
        };
    }

    /** Guards against a configuration that is sent with an element that has no effect. */
    @Test(dataProvider = "oddConfigurations")
    public void oddElementIsTheOnlyFinding(JobConfiguration configuration, String element) {
        assertEquals(
                ConfigurationReview.of(configuration).stream()
                        .map(ConfigurationFinding::element)
                        .toList(),
                List.of(element));
    }

    @Test
    public void soundConfigurationHasNoFinding() {
        assertEquals(ConfigurationReview.of(site(List.of(QUEUE), List.of(TEAM), List.of(POOL))), List.of());
    }

    @Test
    public void differencesNameElementsAndHideKeys() {
        JobConfiguration before = site(List.of(QUEUE), List.of(TEAM), List.of(POOL));
        JobConfiguration after = JobConfiguration.of(
                8,
                List.of(queue("quotes", "/quotes/", "routes", 2), queue("new", "/new/", "routes", 2)),
                List.of(team("drivers", 1, TEAM.limit(), "key-2")),
                List.of(),
                16_384,
                262_144);
        assertEquals(
                ConfigurationDifference.between(before, after),
                List.of(
                        new ConfigurationDifference("version", "7 -> 8"),
                        new ConfigurationDifference("pool routes", "removed"),
                        new ConfigurationDifference("queue new", "added"),
                        new ConfigurationDifference("queue quotes", "stretchFactor 1.6 -> 2.0"),
                        new ConfigurationDifference("team drivers", "keys 1 added, 1 withdrawn")));
        assertTrue(
                ConfigurationDifference.between(after, before).get(0).change().startsWith("would go back"));
    }
}
