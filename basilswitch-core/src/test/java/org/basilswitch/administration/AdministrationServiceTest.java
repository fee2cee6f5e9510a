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

/** Tests operators' changes with a store that loses responses and connections. */
public final class AdministrationServiceTest {
    private static final RecordKey DEPOT = new RecordKey("teams", "depot");
    /** Store calls up to the commit: reads of the operation, the record and the guard, then the transaction. */
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

    /** When two operators change one record concurrently, one is accepted and the other gets the current record. */
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

    /** A repeated request must not write again, also when it is sent to another entry host. */
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

    /** Guards against applying two different changes that are sent concurrently with the same operation id. */
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

    /**
     * The commit takes effect but its response is lost. The result must be read back by its operation id, and the
     * change must be applied once.
     */
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

    /**
     * The store applies a transaction after the call has timed out, between the read of the operation and the read of
     * the record. The change must not be refused because the record has changed.
     */
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

    /** The response is lost and the store stays unreachable: the result is unknown until the request is repeated. */
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

    /** A change refused because the store is unreachable must not be applied when the store is back. */
    @Test
    public void changeDuringStoreOutageIsRefusedAndNotApplied() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 4);
        site.nodes.get(0).client().setReachable(false);
        assertEquals(site.refusal(site.put(team(5))), Optional.of(Code.STORE_UNAVAILABLE));
        site.nodes.get(0).client().setReachable(true);
        site.time.runFor(Duration.ofSeconds(5));
        assertTrue(site.storedConfiguration().teams().isEmpty());
    }

    /** A record that others reference can't be deleted, and a missing record can't be referenced. */
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

    /** A secret can't be granted under two names, and a withdrawn secret can't be granted again. */
    @Test
    public void usedSecretCannotBeGrantedAgain() {
        AdministrationTestSite site = AdministrationTestSite.create(1, 6);
        site.put(team(5));
        site.put(new TeamKey("k1", "depot", HASH));
        assertEquals(site.refusal(site.put(new TeamKey("k2", "depot", HASH))), Optional.of(Code.KEY_HASH_USED));
        site.submit(new Change.Delete(new RecordKey("keys", "k1")));
        assertEquals(site.refusal(site.put(new TeamKey("k1", "depot", HASH))), Optional.of(Code.KEY_HASH_USED));
    }

    /**
     * A host must be drained before it moves, its state may change only by allowed transitions, and the pool's
     * availability budget must be kept.
     */
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

    /** A running wave can be paused and aborted; a planned wave can't be paused, nor an aborted one restarted. */
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

    /** A patch is validated like a whole record, and an operator's role must allow the change. */
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

    /** Audit records are returned newest first, also across hours. */
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
