package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.Resources;
import org.basilswitch.schedule.WaveStore;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class JobSchedulerTest {

    private static JobFleet fleet(int nodes, int servers) {
        JobFleet fleet = new JobFleet();
        fleet.addServers(servers);
        for (int i = 0; i < nodes; i++) {
            fleet.addNode();
        }
        fleet.run(2000);
        return fleet;
    }

    private static void assertRulesKept(JobFleet fleet) {
        assertEquals(fleet.fleet.invariants().violations(), List.of(), String.join("\n", fleet.events));
    }

    private static JobState state(JobFleet fleet, JobNode node, String id) {
        JobAnswer answer = fleet.after(500, fleet.query(node, id));
        return ((JobAnswer.State) answer).state();
    }

    @Test
    public void runsTheStepsOfAJobInOrder() {
        JobFleet fleet = fleet(3, 4);
        String id = JobFleet.id(1);
        JobAnswer answer = fleet.after(
                200, fleet.submit(fleet.nodes.get(1), id, JobFleet.step(6, 3500, 800), JobFleet.step(4, 2000, 500, 0)));
        assertEquals(answer, new JobAnswer.Accepted());
        assertEquals(state(fleet, fleet.nodes.get(2), id), JobState.RUNNING);
        fleet.run(1500);
        assertEquals(state(fleet, fleet.nodes.get(2), id), JobState.COMPLETED);
        assertEquals(fleet.fleet.invariants().starts(), 10);
        assertRulesKept(fleet);
    }

    @Test
    public void aJobHandedInTwiceIsOneJob() {
        JobFleet fleet = fleet(2, 2);
        String id = JobFleet.id(1);
        fleet.after(100, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(2, 1000, 300)));
        JobAnswer again = fleet.after(100, fleet.submit(fleet.nodes.get(1), id, JobFleet.step(2, 1000, 300)));
        assertEquals(again, new JobAnswer.Accepted());
        fleet.run(3000);
        assertEquals(fleet.fleet.invariants().starts(), 2);
        assertRulesKept(fleet);
    }

    @Test
    public void aHolderThatIsKilledIsReplacedAndItsWorkIsKept() {
        JobFleet fleet = fleet(3, 4);
        String id = JobFleet.id(1);
        JobNode holder = fleet.leader();
        fleet.after(300, fleet.submit(holder, id, JobFleet.step(6, 3500, 6000), JobFleet.step(2, 2000, 100, 0)));
        fleet.kill(holder);
        fleet.run(3500);
        assertTrue(fleet.leader() != holder);
        fleet.run(6000);
        assertEquals(state(fleet, fleet.leader(), id), JobState.COMPLETED);
        assertEquals(fleet.fleet.invariants().starts(), 8, "no run was lost");
        assertRulesKept(fleet);
    }

    /** Load pattern: a change of the holder while the store is slow. */
    @Test
    public void aNewHolderReadsAllRecordsInTheTimeOfOneCall() {
        JobFleet fleet = fleet(3, 4);
        fleet.clients.forEach(client -> client.setOneWayDelay(Duration.ofMillis(150)));
        fleet.run(1000);
        fleet.events.clear();
        fleet.kill(fleet.leader());
        fleet.run(6000);
        long readMs = eventMs(fleet, "SCHEDULER_STARTED") - eventMs(fleet, "DUTY_ACQUIRED");
        assertTrue(readMs <= 400, "reading took " + readMs + " ms");
    }

    private static long eventMs(JobFleet fleet, String code) {
        return fleet.events.stream()
                .filter(event -> event.contains(" " + code + " "))
                .mapToLong(event -> Long.parseLong(event.substring(0, event.indexOf(' '))))
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void aJobAcceptedWhileTheNextSchedulerLoadsIsRun() {
        JobFleet fleet = fleet(3, 4);
        JobNode holder = fleet.leader();
        JobNode other =
                fleet.nodes.stream().filter(node -> node != holder).findFirst().orElseThrow();
        fleet.clients.forEach(client -> client.setOneWayDelay(Duration.ofMillis(60)));
        fleet.kill(holder);
        for (int i = 1; i <= 40; i++) {
            fleet.after(100, fleet.submit(other, JobFleet.id(i), JobFleet.step(1, 1000, 100)));
        }
        fleet.run(8000);
        for (int i = 1; i <= 40; i++) {
            assertEquals(state(fleet, other, JobFleet.id(i)), JobState.COMPLETED, "job " + i);
        }
        assertRulesKept(fleet);
    }

    /** Work that ends unseen while its server is cut off, and work that its lapsed lease ends. */
    @DataProvider
    public Object[][] workTimesMs() {
        return new Object[][] {{3000L}, {8000L}};
    }

    @Test(dataProvider = "workTimesMs")
    public void workOnAServerThatIsCutOffIsStartedElsewhereOnlyAfterItsLease(long workMs) {
        JobFleet fleet = fleet(2, 2);
        String id = JobFleet.id(1);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(8, 8000, workMs)));
        String server = fleet.fleet.server("s0").runs() > 0 ? "s0" : "s1";
        fleet.fleet.setSilent(server, true);
        fleet.run(15_000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        assertEquals(fleet.fleet.invariants().starts(), 16, "all work was started again");
        fleet.fleet.setSilent(server, false);
        fleet.run(3000);
        assertRulesKept(fleet);
    }

    @Test
    public void aStartCarriedOutLateIsBarredBeforeTheWorkIsStartedElsewhere() {
        JobFleet fleet = fleet(2, 2);
        fleet.fleet.loseNextStart("s0");
        fleet.fleet.loseNextStart("s1");
        String id = JobFleet.id(1);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(4, 8000, 4000)));
        fleet.run(15_000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        assertRulesKept(fleet);
    }

    @Test
    public void aRunInDoubtIsNotStoppedWhileItsServerMayBeAtWorkUnseen() {
        JobFleet fleet = fleet(2, 2);
        fleet.fleet.loseNextAnswer("s0");
        fleet.fleet.loseNextAnswer("s1");
        String id = JobFleet.id(1);
        fleet.after(50, fleet.submit(fleet.nodes.get(0), id, JobFleet.longRunning(1, 8000, 0)));
        String server = fleet.fleet.server("s0").runs() > 0 ? "s0" : "s1";
        fleet.fleet.setSilent(server, true);
        fleet.run(2200);
        fleet.fleet.setSilent(server, false);
        fleet.run(5000);
        assertEquals(fleet.fleet.invariants().starts(), 1, "the run goes on");
        assertEquals(fleet.fleet.runs(), 1);
        assertRulesKept(fleet);
    }

    /** Load pattern: a rack goes dark while copies are allowed. */
    @Test
    public void aSpeculativeWorkItemOnASilentServerIsStartedElsewhereBeforeItsLeaseEnds() {
        JobFleet fleet = fleet(2, 2);
        String id = JobFleet.id(1);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.speculative(2, 20_000, 1500)));
        String server = fleet.fleet.server("s0").runs() > 0 ? "s0" : "s1";
        fleet.fleet.setSilent(server, true);
        fleet.run(3900);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        fleet.fleet.setSilent(server, false);
        fleet.run(3000);
        assertEquals(fleet.fleet.runs(), 0);
        assertRulesKept(fleet);
    }

    @Test
    public void aRunWhoseAnswerIsLostGoesOn() {
        JobFleet fleet = fleet(2, 2);
        fleet.fleet.loseNextAnswer("s0");
        fleet.fleet.loseNextAnswer("s1");
        String id = JobFleet.id(1);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(4, 20_000, 4000)));
        fleet.run(6000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        assertEquals(fleet.fleet.invariants().starts(), 4, "nothing was started twice");
        assertRulesKept(fleet);
    }

    @Test
    public void aCancelledJobIsStoppedAndNeverStartedAgain() {
        JobFleet fleet = fleet(3, 2);
        String id = JobFleet.id(1);
        fleet.after(
                300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(4, 8000, 4000), JobFleet.step(4, 8000, 10, 0)));
        JobAnswer answer = fleet.after(50, fleet.cancel(fleet.nodes.get(2), id));
        assertEquals(answer, new JobAnswer.Cancelled());
        fleet.fleet.invariants().jobCancelled(id);
        fleet.run(1000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.CANCELLED);
        assertEquals(fleet.fleet.runs(), 0);
        assertRulesKept(fleet);
    }

    @Test
    public void aJobFailsAfterTheAttemptsOfItsQueue() {
        JobFleet fleet = fleet(2, 3);
        String id = JobFleet.id(1);
        fleet.fleet.setFailing((item, run, server) -> item.index() == 1);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(3, 1000, 200)));
        fleet.run(4000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.FAILED);
        assertEquals(fleet.fleet.invariants().failures(new ItemId(id, 0, 0, 1)), 3);
        assertRulesKept(fleet);
    }

    @Test
    public void attemptsThatAnEarlierHolderHasUsedUpStayUsedUp() {
        JobFleet fleet = fleet(3, 2);
        String id = JobFleet.id(1);
        fleet.fleet.setWorkTimes((item, server) -> Duration.ofMillis(item.index() == 0 ? 100 : 20_000));
        fleet.fleet.setFailing((item, run, server) -> item.index() == 0);
        fleet.after(50, fleet.submit(fleet.leader(), id, JobFleet.step(2, 40_000, 100)));
        // The job can't be given its final state while the stop of its other work item has no answer.
        fleet.fleet.setSilent(fleet.fleet.server("s0").runsItem(new ItemId(id, 0, 0, 1)) ? "s0" : "s1", true);
        fleet.run(1500);
        assertEquals(fleet.fleet.invariants().failures(new ItemId(id, 0, 0, 0)), 3);
        fleet.kill(fleet.leader());
        fleet.run(10_000);
        assertEquals(state(fleet, fleet.leader(), id), JobState.FAILED);
        assertEquals(fleet.fleet.invariants().starts(), 4, "three attempts and the other work item");
        assertRulesKept(fleet);
    }

    @Test
    public void aTeamNeverRunsMoreThanItsLimit() {
        JobFleet fleet = fleet(2, 4);
        fleet.configure(new Resources(10_000, 0, 0), 3);
        fleet.run(1000);
        fleet.after(100, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(10, 4000, 500)));
        for (int i = 0; i < 60; i++) {
            fleet.run(50);
            int runs = fleet.fleet.runs();
            assertTrue(runs <= 2, runs + " runs of 4 cores under a limit of 10 cores");
        }
        fleet.run(1000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(1)), JobState.COMPLETED);
    }

    @Test
    public void anEntryHostCutOffFromTheStoreGivesTheDutyAway() {
        JobFleet fleet = fleet(3, 4);
        JobNode holder = fleet.leader();
        fleet.after(300, fleet.submit(holder, JobFleet.id(1), JobFleet.step(12, 3500, 2000)));
        fleet.clients.get(fleet.nodes.indexOf(holder)).setReachable(false);
        fleet.run(4000);
        JobNode other = fleet.nodes.stream()
                .filter(node -> node != holder && node.scheduler().isPresent())
                .findFirst()
                .orElseThrow();
        fleet.after(100, fleet.submit(other, JobFleet.id(2), JobFleet.step(12, 3500, 500)));
        fleet.run(2000);
        fleet.clients.get(fleet.nodes.indexOf(holder)).setReachable(true);
        fleet.run(4000);
        assertEquals(state(fleet, holder, JobFleet.id(1)), JobState.COMPLETED);
        assertEquals(state(fleet, holder, JobFleet.id(2)), JobState.COMPLETED);
        assertRulesKept(fleet);
    }

    @Test
    public void lostAnswersOfTheStoreCostNoWorkAndRunNothingTwice() {
        JobFleet fleet = fleet(3, 4);
        fleet.clients.forEach(client -> client.setLostAnswerRatio(0.3));
        for (int i = 1; i <= 20; i++) {
            fleet.run(200);
            fleet.submit(
                    fleet.nodes.get(i % 3),
                    JobFleet.id(i),
                    JobFleet.step(4, 3500, 300),
                    JobFleet.step(2, 3500, 300, 0));
        }
        fleet.run(5000);
        fleet.clients.forEach(client -> client.setLostAnswerRatio(0));
        fleet.run(15_000);
        for (int i = 1; i <= 20; i++) {
            JobAnswer answer = fleet.after(500, fleet.query(fleet.nodes.get(0), JobFleet.id(i)));
            assertEquals(answer, new JobAnswer.State(JobState.COMPLETED), "job " + i);
        }
        assertRulesKept(fleet);
    }

    @Test
    public void aServerThatStartsAgainUnderItsIdentifierRunsNothingOfBefore() {
        JobFleet fleet = fleet(2, 2);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(8, 8000, 2000)));
        fleet.fleet.restart("s0");
        fleet.run(6000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(1)), JobState.COMPLETED);
        assertRulesKept(fleet);
    }

    @Test
    public void aDelayedStartIsBarredAtTheNextLifetimeOfItsServer() {
        for (int servers = 2; servers <= 6; servers++) {
            JobFleet fleet = fleet(2, servers);
            String id = JobFleet.id(1);
            for (int i = 0; i < servers; i++) {
                fleet.fleet.loseNextStart("s" + i);
            }
            fleet.after(50, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(1, 20_000, 9000)));
            for (int i = 0; i < servers; i++) {
                if (fleet.fleet.server("s" + i) != null) {
                    fleet.fleet.restart("s" + i);
                }
            }
            fleet.run(35_000);
            assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
            assertRulesKept(fleet);
        }
    }

    @Test
    public void aGangStartsWholeOrNotAtAll() {
        JobFleet fleet = fleet(2, 2);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(10, 8000, 1000)));
        fleet.after(200, fleet.submit(fleet.nodes.get(0), JobFleet.id(2), JobFleet.gang(8, 8000, 500)));
        assertEquals(fleet.fleet.runs(), 10, "there is room for six of eight members");
        fleet.run(5000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(2)), JobState.COMPLETED);
        assertEquals(fleet.fleet.invariants().starts(), 18);
        assertRulesKept(fleet);
    }

    @Test
    public void aHolderThatHasNoConfigurationYetSchedulesAndMaintainsOnceItComes() {
        JobFleet fleet = new JobFleet();
        fleet.addServers(4);
        fleet.deleteConfiguration();
        fleet.addNode();
        fleet.run(1500);
        fleet.configure(new Resources(0, 0, 0), 3);
        fleet.run(3000);
        List<String> hosts = List.of("host-s0", "host-s1");
        fleet.fleet.addWave(new WaveStore.WaveRequest(1, hosts, Duration.ofSeconds(26), 1, false, false));
        fleet.after(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(2, 1000, 100)));
        fleet.run(15_000);
        assertEquals(state(fleet, fleet.nodes.get(0), JobFleet.id(1)), JobState.COMPLETED);
        assertEquals(fleet.fleet.maintained().size(), 2, String.join("\n", fleet.events));
    }

    @Test
    public void theRecordsOfAnEndedJobAreDeletedAfterItsRetention() {
        JobFleet fleet = fleet(2, 2);
        fleet.after(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(2, 1000, 100)));
        fleet.run(200_000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(1)), JobState.COMPLETED);
        fleet.run(60_000);
        JobAnswer answer = fleet.after(500, fleet.query(fleet.nodes.get(1), JobFleet.id(1)));
        assertEquals(answer, new JobAnswer.UnknownJob());
        assertEquals(fleet.store.range("/basilswitch/test/jobs/accepted/").entries(), List.of());
    }

    @Test
    public void noWorkIsStartedOnADrainingServer() {
        JobFleet fleet = fleet(2, 2);
        fleet.fleet.drain("s0");
        fleet.run(1000);
        fleet.after(400, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(4, 8000, 1000)));
        assertEquals(fleet.fleet.server("s0").runs(), 0);
        assertEquals(fleet.fleet.server("s1").runs(), 4);
    }

    @Test
    public void aWaveMaintainsEveryHostWithinItsBoundAndKeepsLongRunningWork() {
        JobFleet fleet = fleet(2, 8);
        fleet.after(500, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.longRunning(5, 6000, 1)));
        List<String> hosts = List.of("host-s0", "host-s1", "host-s2", "host-s3", "host-s4", "host-s5");
        fleet.fleet.addWave(new WaveStore.WaveRequest(1, hosts, Duration.ofSeconds(26), 2, false, false));
        int fewest = 5;
        for (int i = 0; i < 400; i++) {
            fleet.run(50);
            int atWork = 0;
            for (int k = 0; k < 5; k++) {
                atWork += fleet.fleet.invariants().isAtWork(new ItemId(JobFleet.id(1), 0, 0, k)) ? 1 : 0;
            }
            fewest = Math.min(fewest, atWork);
        }
        assertEquals(fleet.fleet.maintained().size(), 6, String.join("\n", fleet.events));
        assertTrue(fleet.fleet.maxHostsDown() <= 2, "down at once: " + fleet.fleet.maxHostsDown());
        assertTrue(fewest >= 4, "long-running work items at work: " + fewest);
        assertRulesKept(fleet);
    }
}
