package org.basilswitch.administration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.basilswitch.administration.ChangeRefusal.Code;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.MaintenanceWave.Phase;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.event.EventCode;
import org.basilswitch.store.MemoryStoreClient;
import org.testng.annotations.Test;

import static org.basilswitch.administration.AdministrationTestSite.ADA;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests of operators' changes over a store with faults. */
public final class AdministrationServiceTest {
    private static final RecordKey DEPOT = new RecordKey("teams", "depot");
    /** Reads of the operation, the record and the guard, then the transaction. */
    private static final int CALLS_TO_COMMIT = 4;

    private static final String HASH = "ab".repeat(32);

    private static Team team(int limitTasks) {
        return new Team("depot", 1, limitTasks);
    }

    private static Host host(String name, String pool) {
        return new Host(name, "10.0.0.1:9000", "z1", "r1", pool, HostState.ACTIVE, 8, 64, 64, 1L << 38, 0);
    }

    private static ChangeRequest request(String operationId, Team team, long expectedRevision) {
        return new ChangeRequest(operationId, ADA, new Change.Put(team), expectedRevision);
    }

    /** Two operators change one record at once: one wins, the other is told what changed. */
    @Test
    public void concurrentChangesOfOneRecordAcceptExactlyOne() {
        AdministrationTestSite site = AdministrationTestSite.create(2, 1);
        site.put(team(5));
        long revision = site.revision(DEPOT);
        CompletionStage<ChangeResult> first =
                site.nodes.get(0).administrationService().submit(request("one", team(10), revision));
        CompletionStage<ChangeResult> second =
                site.nodes.get(1).administrationService().submit(request("two", team(20), revision));
        List<ChangeResult> results = List.of(site.await(first), site.await(second));
        assertEquals(
                results.stream().filter(ChangeResult.Accepted.class::isInstance).count(), 1);
        ChangeResult.Refused loser = results.stream()
                .filter(ChangeResult.Refused.class::isInstance)
                .map(ChangeResult.Refused.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(loser.refusal().code(), Code.RECORD_CHANGED);
        VersionedRecord current = loser.current().orElseThrow();
        assertEquals(current.record(), site.storedConfiguration().teams().get("depot"));
        assertEquals(current.revision(), site.revision(DEPOT));
    }

    /** Asking again returns the same result, through another entry host too, and writes nothing. */
    @Test
    public void repeatedRequestReturnsSameResult() {
        AdministrationTestSite site = AdministrationTestSite.create(2, 2);
        ChangeRequest request = request("once", team(5), 0);
        ChangeResult first =
                site.await(site.nodes.get(0).administrationService().submit(request));
        long revision = site.store.revision();
        assertEquals(site.await(site.nodes.get(1).administrationService().submit(request)), first);
        assertEquals(site.store.revision(), revision);
        ChangeResult other =
                site.await(site.nodes.get(1).administrationService().submit(request("once", team(6), 0)));
        assertEquals(site.refusal(other), Optional.of(Code.OPERATION_ID_REUSED));
    }

    /** One operation id used for two changes at the same time applies one of them. */
    @Test
    public void concurrentChangesWithOneOperationIdApplyOnce() {
        AdministrationTestSite site = AdministrationTestSite.create(2, 11);
        Team other = new Team("other", 1, 1);
        CompletionStage<ChangeResult> first =
                site.nodes.get(0).administrationService().submit(request("same", team(1), 0));
        CompletionStage<ChangeResult> second =
                site.nodes.get(1).administrationService().submit(request("same", other, 0));
        site.await(first);
        site.await(second);
        assertEquals(site.storedConfiguration().teams().size(), 1);
        assertEquals(site.audit().size(), 1);
    }

    /** Every answer of the store is lost after it took effect: the result is read back by its operation id. */
    @Test
    public void lostCommitResponseIsReadBack() {
        AdministrationTestSite site = AdministrationTestSite.create(2, 3);
        site.put(team(5));
        long revision = site.revision(DEPOT);
        MemoryStoreClient client = site.nodes.get(0).client();
        long callsBefore = client.calls();
        CompletionStage<ChangeResult> stage =
                site.nodes.get(0).administrationService().submit(request("lost", team(9), revision));
        while (client.calls() < callsBefore + CALLS_TO_COMMIT) {
            site.time.runNext();
        }
        assertEquals(site.revision(DEPOT), revision);
        client.setLostAnswerRatio(1);
        site.time.runFor(Duration.ofSeconds(2));
        assertTrue(site.revision(DEPOT) > revision);
        client.setLostAnswerRatio(0);
        ChangeResult result = site.await(stage);
        assertTrue(result instanceof ChangeResult.Accepted, result.toString());
        assertEquals(((ChangeResult.Accepted) result).revision(), site.revision(DEPOT));
        assertTrue(site.count(EventCode.CHANGE_READ_BACK) > 0);
        assertEquals(site.audit().size(), 2);
    }

    /** A transaction is applied after its time-out, between two reads that look for it: it is still found. */
    @Test
    public void transactionAppliedAfterTimeoutIsFound() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 12);
        site.put(team(5));
        MemoryStoreClient client = site.nodes.get(0).client();
        long callsBefore = client.calls();
        CompletionStage<ChangeResult> stage =
                site.nodes.get(0).administrationService().submit(request("late", team(9), site.revision(DEPOT)));
        while (client.calls() < callsBefore + CALLS_TO_COMMIT - 1) {
            site.time.runNext();
        }
        site.time.runFor(Duration.ofMillis(1));
        client.setOneWayDelay(Duration.ofMillis(1_052));
        while (client.calls() < callsBefore + CALLS_TO_COMMIT) {
            site.time.runNext();
        }
        client.setOneWayDelay(Duration.ofMillis(1));
        ChangeResult result = site.await(stage);
        assertTrue(result instanceof ChangeResult.Accepted, result.toString());
        assertEquals(site.audit().size(), 2);
    }

    /** When the store goes away with the answer, the result is unknown until it is asked for again. */
    @Test
    public void unknownResultIsResolvedByRepeatedRequest() {
        AdministrationTestSite site = AdministrationTestSite.create(2, 13);
        site.put(team(5));
        long revision = site.revision(DEPOT);
        MemoryStoreClient client = site.nodes.get(0).client();
        ChangeRequest request = request("unknown", team(9), revision);
        long callsBefore = client.calls();
        CompletionStage<ChangeResult> stage =
                site.nodes.get(0).administrationService().submit(request);
        while (client.calls() < callsBefore + CALLS_TO_COMMIT) {
            site.time.runNext();
        }
        client.setLostAnswerRatio(1);
        site.time.runFor(Duration.ofMillis(5));
        client.setReachable(false);
        ChangeResult first = site.await(stage);
        assertTrue(first instanceof ChangeResult.Unknown, first.toString());
        ChangeResult second =
                site.await(site.nodes.get(1).administrationService().submit(request));
        assertTrue(second instanceof ChangeResult.Accepted, second.toString());
        assertEquals(((ChangeResult.Accepted) second).revision(), site.revision(DEPOT));
    }

    /** With the store unreachable nothing is changed and the answer says so. */
    @Test
    public void changeDuringStoreOutageIsRefusedAndNotApplied() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 4);
        site.nodes.get(0).client().setReachable(false);
        assertEquals(site.refusal(site.put(team(5))), Optional.of(Code.STORE_UNAVAILABLE));
        site.nodes.get(0).client().setReachable(true);
        site.time.runFor(Duration.ofSeconds(5));
        assertTrue(site.storedConfiguration().teams().isEmpty());
    }

    /** A record that others name can't be deleted, and a missing one can't be named. */
    @Test
    public void danglingReferencesAreRefused() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 5);
        TeamKey key = new TeamKey("k1", "depot", HASH);
        assertEquals(site.refusal(site.put(key)), Optional.of(Code.REFERENCE_UNKNOWN));
        site.put(team(5));
        assertEquals(site.refusal(site.put(key)), Optional.empty());
        assertEquals(site.refusal(site.submit(new Change.Delete(DEPOT))), Optional.of(Code.STILL_REFERENCED));
        site.put(new Pool("p", 0, false));
        site.put(host("h1", "p"));
        RecordKey pool = new RecordKey("pools", "p");
        assertEquals(site.refusal(site.submit(new Change.Delete(pool))), Optional.of(Code.STILL_REFERENCED));
        Queue queue = new Queue("q", "nowhere", false, false, 60_000, 1_000, 1_000, 10);
        assertEquals(site.refusal(site.put(queue)), Optional.of(Code.REFERENCE_UNKNOWN));
    }

    /** A withdrawn secret can't be granted again, and no secret is granted twice. */
    @Test
    public void usedSecretCannotBeGrantedAgain() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 6);
        site.put(team(5));
        site.put(new TeamKey("k1", "depot", HASH));
        assertEquals(site.refusal(site.put(new TeamKey("k2", "depot", HASH))), Optional.of(Code.KEY_HASH_USED));
        site.submit(new Change.Delete(new RecordKey("keys", "k1")));
        assertEquals(site.refusal(site.put(new TeamKey("k1", "depot", HASH))), Optional.of(Code.KEY_HASH_USED));
    }

    /** Hosts move drained, step as the table allows, and leave the pool's availability budget. */
    @Test
    public void hostChangesFollowTransitionsAndBudget() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 7);
        site.put(new Pool("a", 0, false));
        site.put(new Pool("b", 0, false));
        Host first = host("h1", "a");
        site.put(first);
        site.put(host("h2", "a"));
        site.put(new Pool("a", 1, false));
        assertEquals(site.refusal(site.put(first.withPool("b"))), Optional.of(Code.HOST_NOT_DRAINED));
        assertEquals(site.refusal(site.put(first.withState(HostState.REBOOTING))), Optional.of(Code.STEP_NOT_ALLOWED));
        Host draining = first.withState(HostState.DRAINING);
        assertEquals(site.refusal(site.put(draining)), Optional.empty());
        assertEquals(
                site.refusal(site.put(host("h2", "a").withState(HostState.DRAINING))),
                Optional.of(Code.BUDGET_EXHAUSTED));
        assertEquals(site.refusal(site.put(draining.withPool("b").withState(HostState.ACTIVE))), Optional.empty());
        assertEquals(site.refusal(site.put(new Pool("b", 2, false))), Optional.of(Code.RECORD_INVALID));
    }

    /** A wave's phase follows its steps. */
    @Test
    public void wavePhaseFollowsAllowedTransitions() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 8);
        site.put(new Pool("a", 0, false));
        site.put(host("h1", "a"));
        MaintenanceWave wave = new MaintenanceWave("w", List.of("h1"), List.of(), Phase.PLANNED, 1, "");
        assertEquals(site.refusal(site.put(wave)), Optional.empty());
        assertEquals(site.refusal(patchPhase(site, "PAUSED")), Optional.of(Code.STEP_NOT_ALLOWED));
        assertEquals(site.refusal(patchPhase(site, "RUNNING")), Optional.empty());
        assertEquals(site.refusal(patchPhase(site, "PAUSED")), Optional.empty());
        assertEquals(site.refusal(patchPhase(site, "ABORTED")), Optional.empty());
        assertEquals(site.refusal(patchPhase(site, "RUNNING")), Optional.of(Code.STEP_NOT_ALLOWED));
    }

    private static ChangeResult patchPhase(AdministrationTestSite site, String phase) {
        return site.submit(new Change.Patch(
                new RecordKey("waves", "w"),
                JsonNodeFactory.instance.objectNode().put("phase", phase)));
    }

    /** Patches change single fields and are checked like whole records; roles bound what an operator may do. */
    @Test
    public void invalidPatchAndInsufficientRoleAreRefused() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 9);
        site.put(team(5));
        site.submit(
                new Change.Patch(DEPOT, JsonNodeFactory.instance.objectNode().put("limitTasks", 7)));
        assertEquals(site.storedConfiguration().teams().get("depot"), team(7));
        ChangeResult wrong = site.submit(
                new Change.Patch(DEPOT, JsonNodeFactory.instance.objectNode().put("limit", 7)));
        assertEquals(site.refusal(wrong), Optional.of(Code.RECORD_INVALID));
        ChangeResult low = site.await(site.nodes
                .get(0)
                .administrationService()
                .submit(new ChangeRequest(
                        "low", new Operator("bob", OperatorRole.OPERATOR), new Change.Delete(DEPOT), 1)));
        assertEquals(site.refusal(low), Optional.of(Code.ROLE_TOO_LOW));
    }

    /** Audit records say who changed what, newest first, with the record before and after. */
    @Test
    public void auditRecordsHoldRecordBeforeAndAfter() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 10);
        site.put(team(5));
        site.time.runFor(Duration.ofMinutes(70));
        site.put(team(6));
        List<AuditRecord> records = site.audit();
        assertEquals(
                records.stream().map(AuditRecord::action).toList(),
                List.of(OperationRecord.Action.CHANGED, OperationRecord.Action.CREATED));
        assertEquals(records.get(0).operator(), "ada");
        assertEquals(records.get(0).before().path("limitTasks").intValue(), 5);
        assertEquals(records.get(0).after().path("limitTasks").intValue(), 6);
        assertTrue(records.get(1).before().isNull());
    }
}
