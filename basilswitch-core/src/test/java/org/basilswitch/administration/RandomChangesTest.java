package org.basilswitch.administration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.event.EventCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Submits random concurrent changes through three entry hosts while the store loses responses and connections, and
 * compares the results with the stored records and the audit records.
 */
public final class RandomChangesTest {
    private static final int CHANGE_COUNT = 400;
    private static final int NAME_COUNT = 3;

    /** Provides the seeds of the random number generator. */
    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[30][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i + 1};
        }
        return seeds;
    }

    private record Submission(String operationId, List<ChangeResult> results) {}

    /** Accepted changes are applied exactly once, refused ones are not, and no record references a missing one. */
    @Test(dataProvider = "seeds")
    public void resultsMatchStoredState(long seed) {
        AdministrationTestSite site = AdministrationTestSite.create(3, seed);
        List<Submission> submissions = new ArrayList<>();
        for (int i = 0; i < CHANGE_COUNT; i++) {
            injectFaults(site);
            submissions.add(submitRandomChange(site));
            site.time.runFor(Duration.ofMillis(site.random.nextInt(30)));
            checkReferences(site.storedConfiguration());
        }
        clearFaults(site);
        Map<String, AuditRecord> audit = new HashMap<>();
        for (AuditRecord record : site.audit()) {
            assertTrue(audit.put(record.operationId(), record) == null, "applied twice: " + record);
        }
        submissions.forEach(submission -> checkResults(submission, audit));
        checkAuditChain(site);
        assertTrue(audit.size() > CHANGE_COUNT / 10, "accepted " + audit.size());
        assertTrue(site.count(EventCode.CHANGE_READ_BACK) > 0, "no answer was lost");
        assertTrue(site.count(EventCode.CHANGE_REFUSED) > 0, "nothing was refused");
    }

    private static void injectFaults(AdministrationTestSite site) {
        AdministrationTestSite.Node node = site.nodes.get(site.random.nextInt(site.nodes.size()));
        node.client().setLostAnswerRatio(site.random.nextInt(3) == 0 ? 0.3 : 0);
        node.client().setReachable(site.random.nextInt(10) != 0);
        // The store applies such a transaction after the client's call has timed out.
        boolean exceedsTimeout = site.random.nextInt(8) == 0;
        node.client().setOneWayDelay(Duration.ofMillis(exceedsTimeout ? 1_000 + site.random.nextInt(300) : 1));
    }

    private static void clearFaults(AdministrationTestSite site) {
        for (AdministrationTestSite.Node node : site.nodes) {
            node.client().setLostAnswerRatio(0);
            node.client().setReachable(true);
            node.client().setOneWayDelay(Duration.ofMillis(1));
        }
        site.time.runFor(Duration.ofSeconds(20));
    }

    private static Submission submitRandomChange(AdministrationTestSite site) {
        Change change = randomChange(site);
        long revision = site.revision(change.key());
        ChangeRequest request = new ChangeRequest(site.newOperationId(), AdministrationTestSite.ADA, change, revision);
        Submission submission = new Submission(request.operationId(), new ArrayList<>());
        int times = 1 + site.random.nextInt(2);
        for (int i = 0; i < times; i++) {
            site.nodes
                    .get(site.random.nextInt(site.nodes.size()))
                    .administrationService()
                    .submit(request)
                    .thenAccept(submission.results::add);
        }
        return submission;
    }

    private static Change randomChange(AdministrationTestSite site) {
        ConfigurationRecord record = randomRecord(site);
        return site.random.nextInt(4) == 0 ? new Change.Delete(RecordKey.of(record)) : new Change.Put(record);
    }

    private static ConfigurationRecord randomRecord(AdministrationTestSite site) {
        String name = "n" + site.random.nextInt(NAME_COUNT);
        String other = "n" + site.random.nextInt(NAME_COUNT);
        return switch (site.random.nextInt(4)) {
            case 0 -> new Team(name, 1, site.random.nextInt(100));
            case 1 -> new TeamKey(name, other, String.format("%064x", site.random.nextInt(8)));
            case 2 -> new Pool(name, 0, false);
            default ->
                new Host(
                        name,
                        "10.0.0.1:1",
                        "z",
                        "r",
                        other,
                        site.random.nextBoolean() ? HostState.ACTIVE : HostState.DRAINING,
                        8,
                        64,
                        1,
                        1L << 30,
                        0);
        };
    }

    private static void checkReferences(SiteConfiguration stored) {
        Set<String> hashes = new HashSet<>();
        for (TeamKey key : stored.keys().values()) {
            assertTrue(stored.teams().containsKey(key.team()), "team of " + key);
            assertTrue(hashes.add(key.sha256Hex()), "hash granted twice: " + key);
        }
        for (Host host : stored.hosts().values()) {
            assertTrue(stored.pools().containsKey(host.pool()), "pool of " + host);
        }
    }

    private static void checkResults(Submission submission, Map<String, AuditRecord> audit) {
        boolean applied = audit.containsKey(submission.operationId);
        Set<Long> revisions = new HashSet<>();
        for (ChangeResult result : submission.results) {
            switch (result) {
                case ChangeResult.Accepted accepted -> {
                    assertTrue(applied, "accepted but not applied: " + accepted);
                    revisions.add(accepted.revision());
                }
                case ChangeResult.Refused refused ->
                    assertFalse(applied && submission.results.size() == 1, "refused but applied: " + refused);
                case ChangeResult.Unknown unknown -> {}
            }
        }
        assertTrue(revisions.size() <= 1, "two revisions of one operation: " + revisions);
    }

    /** Checks that each audit record's {@code before} equals the {@code after} of the record's previous change. */
    private static void checkAuditChain(AdministrationTestSite site) {
        Map<RecordKey, JsonNode> latest = new HashMap<>();
        site.store.range(site.keys.audit()).entries().stream()
                .sorted(java.util.Comparator.comparingLong(entry -> entry.modRevision()))
                .map(entry -> org.basilswitch.configuration.RecordCodec.decode(entry.value(), AuditRecord.class)
                        .orElseThrow())
                .forEach(record -> {
                    RecordKey key = new RecordKey(record.kind(), record.name());
                    JsonNode before = latest.getOrDefault(key, NullNode.getInstance());
                    assertEquals(record.before().toString(), before.toString(), "audit chain of " + key);
                    latest.put(key, record.after());
                });
    }
}
