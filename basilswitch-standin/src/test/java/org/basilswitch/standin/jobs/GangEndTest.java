package org.basilswitch.standin.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.ServerCommands.RunEndKind;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Ends of gangs, whose members run, end and resume together. */
final class GangEndTest {
    private static final String ID = JobFleet.id(1);
    private static final int MEMBERS = 2;
    /** Processors of a member, of which a server has room for one, thousandths of a core. */
    private static final long MEMBER_CPU_MILLIS = 40_000;

    @DataProvider
    public Object[][] leaders() {
        return new Object[][] {{false}, {true}};
    }

    /** Guards against a gang that lasts and stays away, or completes its job, after it has ended as done. */
    @Test(dataProvider = "leaders")
    public void longRunningGangThatEndsAsDoneIsStartedAgain(boolean leaderReplaced) {
        JobFleet fleet = fleetWith(3, JobFleet.longRunningGang(MEMBERS, MEMBER_CPU_MILLIS));
        endAll(fleet, RunEndKind.DONE);
        if (leaderReplaced) {
            fleet.replaceLeader();
        }
        fleet.runFor(3000);
        assertAllRun(fleet, 2 * MEMBERS);
    }

    /** Guards against a gang that lasts and waits for the end of a member whose server is silent. */
    @Test
    public void longRunningGangIsStartedAgainWhileServerOfOneMemberIsSilent() {
        JobFleet fleet = fleetWith(5, JobFleet.longRunningGang(MEMBERS, MEMBER_CPU_MILLIS));
        String silent = fleet.serverOf(member(1));
        fleet.model.setUnreachable(silent, true);
        fleet.runFor(2500);
        endAll(fleet, RunEndKind.DONE);
        fleet.runFor(3000);
        assertAllRun(fleet, 2 * MEMBERS);
        fleet.model.setUnreachable(silent, false);
        fleet.runFor(3000);
        assertAllRun(fleet, 2 * MEMBERS);
    }

    /** Guards against a member that is dropped while it runs, as an earlier run of its gang has ended as done. */
    @Test
    public void lateEndOfEarlierRunKeepsMembersOfLongRunningGang() {
        JobFleet fleet = fleetWith(6, JobFleet.longRunningGang(MEMBERS, MEMBER_CPU_MILLIS));
        List<String> first = serversOfMembers(fleet);
        first.forEach(server -> fleet.model.setUnreachable(server, true));
        endAll(fleet, RunEndKind.DONE);
        runUntil(fleet, () -> fleet.model.invariants().startCount() == 2 * MEMBERS);
        // The second run of one member fails; its gang waits for the end of the other one.
        fleet.model.server(fleet.serverOf(member(0))).endRun(member(0), RunEndKind.LAPSED);
        fleet.runFor(500);
        first.forEach(server -> fleet.model.setUnreachable(server, false));
        fleet.runFor(3000);
        assertEquals(fleet.model.invariants().violations(), List.of(), fleet.lastEvents());
        fleet.model.server(fleet.serverOf(member(1))).endRun(member(1), RunEndKind.BROKEN);
        fleet.runFor(3000);
        assertAllRun(fleet, 3 * MEMBERS);
    }

    /** Guards against later runs of a gang that go on, under the next leader, after an earlier run has completed it. */
    @Test
    public void laterRunIsStoppedWhenEarlierOneCompletedItUnderNextLeader() {
        JobFleet fleet = fleetWith(4, JobFleet.gang(MEMBERS, MEMBER_CPU_MILLIS, 60_000));
        List<String> first = serversOfMembers(fleet);
        first.forEach(server -> fleet.model.setUnreachable(server, true));
        endAll(fleet, RunEndKind.DONE);
        runUntil(fleet, () -> fleet.model.activeRunCount() == MEMBERS);
        fleet.replaceLeader();
        fleet.model.setUnreachable(first.get(0), false);
        runUntil(fleet, () -> fleet.leader().jobState(ID).orElseThrow() == JobState.COMPLETED);
        fleet.runFor(300);
        assertEquals(fleet.model.activeRunCount(), 0, fleet.lastEvents());
    }

    /** Guards against a gang whose members are started with different checkpoints, which none of them may have. */
    @Test(dataProvider = "leaders")
    public void membersResumeFromTheSameCheckpoint(boolean leaderReplaced) {
        JobFleet fleet = fleetWith(4, JobFleet.gang(MEMBERS, MEMBER_CPU_MILLIS, 60_000));
        for (int i = 0; i < MEMBERS; i++) {
            fleet.model.server(fleet.serverOf(member(i))).saveCheckpoint(member(i), "saved by " + i);
        }
        fleet.runFor(2000);
        endAll(fleet, RunEndKind.BROKEN);
        if (leaderReplaced) {
            fleet.replaceLeader();
        }
        fleet.runFor(2000);
        assertAllRun(fleet, 2 * MEMBERS);
    }

    /** Guards against the same where an earlier version stored a checkpoint for each member. */
    @Test
    public void membersStoredWithDifferentCheckpointsResumeFromTheSame() {
        JobFleet fleet = fleetWith(4, JobFleet.gang(MEMBERS, MEMBER_CPU_MILLIS, 60_000));
        fleet.killProcess(fleet.leader());
        endAll(fleet, RunEndKind.LAPSED);
        storeProgress(fleet, "[0,0,0,false,1,0,0,\"saved by 0\",null,0,0],[0,0,1,false,1,0,0,\"saved by 1\",null,0,0]");
        fleet.runFor(8000);
        assertAllRun(fleet, 2 * MEMBERS);
    }

    /** Guards against a gang that is taken for failed early: the failures of two members of one run are one attempt. */
    @Test(dataProvider = "leaders")
    public void failuresOfMembersOfOneRunAreOneAttempt(boolean leaderReplaced) {
        JobFleet fleet = fleetWith(4, JobFleet.gang(MEMBERS, MEMBER_CPU_MILLIS, 60_000));
        for (int run = 1; run <= 2; run++) {
            endAll(fleet, RunEndKind.FAILED);
            fleet.runFor(2000);
            assertAllRun(fleet, (run + 1) * MEMBERS);
        }
        if (leaderReplaced) {
            fleet.replaceLeader();
        }
        endAll(fleet, RunEndKind.FAILED);
        fleet.runFor(2000);
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.FAILED, fleet.lastEvents());
        assertEquals(fleet.model.invariants().startCount(), 3 * MEMBERS, fleet.lastEvents());
    }

    /** Guards against members that wait alone because the server of another one drains before its start is sent. */
    @Test
    public void noMemberIsStartedWhenServerOfAnotherOneDrains() {
        JobFleet fleet = JobFleet.running(1, MEMBERS);
        fleet.clients.get(0).setOneWayDelay(Duration.ofMillis(400));
        fleet.submit(fleet.leader(), ID, JobFleet.gang(MEMBERS, MEMBER_CPU_MILLIS, 60_000));
        fleet.runFor(900);
        assertEquals(fleet.model.invariants().startCount(), 0, fleet.lastEvents());
        fleet.model.markDraining("s1");
        fleet.runFor(3000);
        assertTrue(fleet.events.stream().anyMatch(event -> event.contains("start conditions no longer met")));
        assertEquals(fleet.model.activeRunCount(), 0, fleet.lastEvents());
    }

    private static JobFleet fleetWith(int servers, StepSpec gang) {
        JobFleet fleet = JobFleet.running(3, servers);
        fleet.answerAfter(500, fleet.submit(fleet.leader(), ID, gang));
        assertEquals(fleet.model.activeRunCount(), MEMBERS);
        return fleet;
    }

    private static ItemId member(int index) {
        return new ItemId(ID, 0, 0, index);
    }

    private static List<String> serversOfMembers(JobFleet fleet) {
        return List.of(fleet.serverOf(member(0)), fleet.serverOf(member(1)));
    }

    private static void endAll(JobFleet fleet, RunEndKind kind) {
        for (int i = 0; i < MEMBERS; i++) {
            fleet.model.server(fleet.serverOf(member(i))).endRun(member(i), kind);
        }
    }

    private static void storeProgress(JobFleet fleet, String rows) {
        byte[] record = ("{\"fence\":1,\"sequence\":1,\"items\":[" + rows + "]}").getBytes(StandardCharsets.UTF_8);
        fleet.store.commit(Transaction.builder()
                .put("/basilswitch/test/progress/" + ID, record)
                .build());
    }

    private static void runUntil(JobFleet fleet, BooleanSupplier condition) {
        for (int i = 0; i < 3000 && !condition.getAsBoolean(); i++) {
            fleet.runFor(10);
        }
        assertTrue(condition.getAsBoolean(), fleet.lastEvents());
    }

    private static void assertAllRun(JobFleet fleet, int starts) {
        for (int i = 0; i < MEMBERS; i++) {
            assertTrue(fleet.model.invariants().isRunning(member(i)), "member " + i + "\n" + fleet.lastEvents());
        }
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.RUNNING);
        assertEquals(fleet.model.invariants().startCount(), starts, fleet.lastEvents());
        assertEquals(fleet.model.invariants().violations(), List.of(), fleet.lastEvents());
    }
}
