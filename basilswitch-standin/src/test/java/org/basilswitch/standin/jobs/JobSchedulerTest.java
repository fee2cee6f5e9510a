package org.basilswitch.standin.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.Resources;
import org.basilswitch.schedule.WaveStore;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class JobSchedulerTest {

    private static void assertNoViolations(JobFleet fleet) {
        assertEquals(fleet.model.invariants().violations(), List.of(), String.join("\n", fleet.events));
    }

    private static JobState state(JobFleet fleet, JobNode node, String id) {
        JobAnswer answer = fleet.answerAfter(500, fleet.query(node, id));
        return ((JobAnswer.State) answer).state();
    }

    @Test
    public void stepsRunInDependencyOrder() {
        JobFleet fleet = JobFleet.running(3, 4);
        String id = JobFleet.id(1);
        JobAnswer answer = fleet.answerAfter(
                200, fleet.submit(fleet.nodes.get(1), id, JobFleet.step(6, 3500, 800), JobFleet.step(4, 2000, 500, 0)));
        assertEquals(answer, new JobAnswer.Accepted());
        assertEquals(state(fleet, fleet.nodes.get(2), id), JobState.RUNNING);
        fleet.runFor(1500);
        assertEquals(state(fleet, fleet.nodes.get(2), id), JobState.COMPLETED);
        assertEquals(fleet.model.invariants().startCount(), 10);
        assertNoViolations(fleet);
    }

    @Test
    public void jobSubmittedTwiceRunsOnce() {
        JobFleet fleet = JobFleet.running(2, 2);
        String id = JobFleet.id(1);
        fleet.answerAfter(100, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(2, 1000, 300)));
        JobAnswer again = fleet.answerAfter(100, fleet.submit(fleet.nodes.get(1), id, JobFleet.step(2, 1000, 300)));
        assertEquals(again, new JobAnswer.Accepted());
        fleet.runFor(3000);
        assertEquals(fleet.model.invariants().startCount(), 2);
        assertNoViolations(fleet);
    }

    @Test
    public void killedLeaderIsReplacedAndRunsContinue() {
        JobFleet fleet = JobFleet.running(3, 4);
        String id = JobFleet.id(1);
        JobNode leader = fleet.leader();
        fleet.answerAfter(300, fleet.submit(leader, id, JobFleet.step(6, 3500, 6000), JobFleet.step(2, 2000, 100, 0)));
        fleet.kill(leader);
        fleet.runFor(3500);
        assertTrue(fleet.leader() != leader);
        fleet.runFor(6000);
        assertEquals(state(fleet, fleet.leader(), id), JobState.COMPLETED);
        assertEquals(fleet.model.invariants().startCount(), 8, "no run was lost");
        assertNoViolations(fleet);
    }

    /** Load pattern: a change of leader while the store is slow. */
    @Test
    public void newLeaderReadsAllRecordsConcurrently() {
        JobFleet fleet = JobFleet.running(3, 4);
        fleet.clients.forEach(client -> client.setOneWayDelay(Duration.ofMillis(150)));
        fleet.runFor(1000);
        fleet.events.clear();
        fleet.kill(fleet.leader());
        fleet.runFor(6000);
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
    public void jobAcceptedWhileNewLeaderLoadsIsRun() {
        JobFleet fleet = JobFleet.running(3, 4);
        JobNode leader = fleet.leader();
        JobNode other =
                fleet.nodes.stream().filter(node -> node != leader).findFirst().orElseThrow();
        fleet.clients.forEach(client -> client.setOneWayDelay(Duration.ofMillis(60)));
        fleet.kill(leader);
        for (int i = 1; i <= 40; i++) {
            fleet.answerAfter(100, fleet.submit(other, JobFleet.id(i), JobFleet.step(1, 1000, 100)));
        }
        fleet.runFor(8000);
        for (int i = 1; i <= 40; i++) {
            assertEquals(state(fleet, other, JobFleet.id(i)), JobState.COMPLETED, "job " + i);
        }
        assertNoViolations(fleet);
    }

    /**
     * Durations of work that ends while its server is unreachable, and of work that is ended by the expiry of its
     * lease.
     */
    @DataProvider
    public Object[][] workDurationsMs() {
        return new Object[][] {{3000L}, {8000L}};
    }

    @Test(dataProvider = "workDurationsMs")
    public void workOnUnreachableServerRestartsOnlyAfterLeaseExpiry(long workMs) {
        JobFleet fleet = JobFleet.running(2, 2);
        String id = JobFleet.id(1);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(8, 8000, workMs)));
        String server = fleet.model.server("s0").activeRunCount() > 0 ? "s0" : "s1";
        fleet.model.setUnreachable(server, true);
        fleet.runFor(15_000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        assertEquals(fleet.model.invariants().startCount(), 16, "all work items were started again");
        fleet.model.setUnreachable(server, false);
        fleet.runFor(3000);
        assertNoViolations(fleet);
    }

    @Test
    public void delayedStartIsBlockedBeforeWorkRestartsElsewhere() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.model.loseNextStart("s0");
        fleet.model.loseNextStart("s1");
        String id = JobFleet.id(1);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(4, 8000, 4000)));
        fleet.runFor(15_000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        assertNoViolations(fleet);
    }

    @Test
    public void unconfirmedRunOnSilentServerIsNotStopped() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.model.loseNextAnswer("s0");
        fleet.model.loseNextAnswer("s1");
        String id = JobFleet.id(1);
        fleet.answerAfter(50, fleet.submit(fleet.nodes.get(0), id, JobFleet.longRunning(1, 8000, 0)));
        String server = fleet.model.server("s0").activeRunCount() > 0 ? "s0" : "s1";
        fleet.model.setUnreachable(server, true);
        fleet.runFor(2200);
        fleet.model.setUnreachable(server, false);
        fleet.runFor(5000);
        assertEquals(fleet.model.invariants().startCount(), 1, "the run continues");
        assertEquals(fleet.model.activeRunCount(), 1);
        assertNoViolations(fleet);
    }

    /** Load pattern: a rack becomes unreachable while copies are allowed. */
    @Test
    public void speculativeItemOnSilentServerRestartsBeforeLeaseExpiry() {
        JobFleet fleet = JobFleet.running(2, 2);
        String id = JobFleet.id(1);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.speculative(2, 20_000, 1500)));
        String server = fleet.model.server("s0").activeRunCount() > 0 ? "s0" : "s1";
        fleet.model.setUnreachable(server, true);
        fleet.runFor(3900);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        fleet.model.setUnreachable(server, false);
        fleet.runFor(3000);
        assertEquals(fleet.model.activeRunCount(), 0);
        assertNoViolations(fleet);
    }

    /** Guards against repeating a work item whose first run completed unseen, after a copy of it and a new leader. */
    @Test
    public void completionOfRunThatOnlyEarlierLeaderFollowedCounts() {
        JobFleet fleet = JobFleet.running(3, 4);
        JobNode leader = fleet.leader();
        String id = JobFleet.id(1);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.speculative(1, 20_000, 1000)));
        ItemId item = new ItemId(id, 0, 0, 0);
        String first = serversRunning(fleet, item).get(0);
        fleet.model.setUnreachable(first, true);
        fleet.model.setWorkTimes((copy, server) -> Duration.ofSeconds(60));
        fleet.runFor(1300);
        assertTrue(fleet.model.invariants().isDone(item));
        assertEquals(serversRunning(fleet, item).size(), 2, "copies: " + fleet.events);
        fleet.kill(leader);
        fleet.runFor(500);
        fleet.model.setUnreachable(first, false);
        fleet.runFor(2500);
        serversRunning(fleet, item).forEach(fleet.model::crash);
        fleet.runFor(8000);
        assertNoViolations(fleet);
        assertEquals(state(fleet, fleet.leader(), id), JobState.COMPLETED);
    }

    private static List<String> serversRunning(JobFleet fleet, ItemId item) {
        return Stream.of("s0", "s1", "s2", "s3")
                .filter(server -> fleet.model.server(server) != null
                        && fleet.model.server(server).isRunning(item))
                .toList();
    }

    @Test
    public void runWithLostStartAnswerContinues() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.model.loseNextAnswer("s0");
        fleet.model.loseNextAnswer("s1");
        String id = JobFleet.id(1);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(4, 20_000, 4000)));
        fleet.runFor(6000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
        assertEquals(fleet.model.invariants().startCount(), 4, "no work item was started twice");
        assertNoViolations(fleet);
    }

    @Test
    public void cancelledJobIsStoppedAndNotRestarted() {
        JobFleet fleet = JobFleet.running(3, 2);
        String id = JobFleet.id(1);
        fleet.answerAfter(
                300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(4, 8000, 4000), JobFleet.step(4, 8000, 10, 0)));
        JobAnswer answer = fleet.answerAfter(50, fleet.cancel(fleet.nodes.get(2), id));
        assertEquals(answer, new JobAnswer.Cancelled());
        fleet.model.invariants().jobCancelled(id);
        fleet.runFor(1000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.CANCELLED);
        assertEquals(fleet.model.activeRunCount(), 0);
        assertNoViolations(fleet);
    }

    @Test
    public void jobFailsAfterMaxAttempts() {
        JobFleet fleet = JobFleet.running(2, 3);
        String id = JobFleet.id(1);
        fleet.model.setFailurePolicy((item, run, server) -> item.index() == 1);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(3, 1000, 200)));
        fleet.runFor(4000);
        assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.FAILED);
        assertEquals(fleet.model.invariants().failures(new ItemId(id, 0, 0, 1)), 3);
        assertNoViolations(fleet);
    }

    @Test
    public void attemptsCountAcrossLeaderChange() {
        JobFleet fleet = JobFleet.running(3, 2);
        String id = JobFleet.id(1);
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(item.index() == 0 ? 100 : 20_000));
        fleet.model.setFailurePolicy((item, run, server) -> item.index() == 0);
        fleet.answerAfter(50, fleet.submit(fleet.leader(), id, JobFleet.step(2, 40_000, 100)));
        // The job cannot reach its final state while the stop of its other work item is not answered.
        fleet.model.setUnreachable(fleet.model.server("s0").isRunning(new ItemId(id, 0, 0, 1)) ? "s0" : "s1", true);
        fleet.runFor(1500);
        assertEquals(fleet.model.invariants().failures(new ItemId(id, 0, 0, 0)), 3);
        fleet.kill(fleet.leader());
        fleet.runFor(10_000);
        assertEquals(state(fleet, fleet.leader(), id), JobState.FAILED);
        assertEquals(fleet.model.invariants().startCount(), 4, "three attempts and the other work item");
        assertNoViolations(fleet);
    }

    @Test
    public void teamStaysWithinItsLimit() {
        JobFleet fleet = JobFleet.running(2, 4);
        fleet.configure(new Resources(10_000, 0, 0), 3);
        fleet.runFor(1000);
        fleet.answerAfter(100, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(10, 4000, 500)));
        for (int i = 0; i < 60; i++) {
            fleet.runFor(50);
            int runs = fleet.model.activeRunCount();
            assertTrue(runs <= 2, runs + " runs of 4 cores under a limit of 10 cores");
        }
        fleet.runFor(1000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(1)), JobState.COMPLETED);
    }

    @Test
    public void leaderCutOffFromStoreLosesLeadership() {
        JobFleet fleet = JobFleet.running(3, 4);
        JobNode leader = fleet.leader();
        fleet.answerAfter(300, fleet.submit(leader, JobFleet.id(1), JobFleet.step(12, 3500, 2000)));
        fleet.clients.get(fleet.nodes.indexOf(leader)).setReachable(false);
        fleet.runFor(4000);
        JobNode other = fleet.nodes.stream()
                .filter(node -> node != leader && node.scheduler().isPresent())
                .findFirst()
                .orElseThrow();
        fleet.answerAfter(100, fleet.submit(other, JobFleet.id(2), JobFleet.step(12, 3500, 500)));
        fleet.runFor(2000);
        fleet.clients.get(fleet.nodes.indexOf(leader)).setReachable(true);
        fleet.runFor(4000);
        assertEquals(state(fleet, leader, JobFleet.id(1)), JobState.COMPLETED);
        assertEquals(state(fleet, leader, JobFleet.id(2)), JobState.COMPLETED);
        assertNoViolations(fleet);
    }

    @Test
    public void lostStoreAnswersNeitherLoseNorRepeatWork() {
        JobFleet fleet = JobFleet.running(3, 4);
        fleet.clients.forEach(client -> client.setLostAnswerRatio(0.3));
        for (int i = 1; i <= 20; i++) {
            fleet.runFor(200);
            fleet.submit(
                    fleet.nodes.get(i % 3),
                    JobFleet.id(i),
                    JobFleet.step(4, 3500, 300),
                    JobFleet.step(2, 3500, 300, 0));
        }
        fleet.runFor(5000);
        fleet.clients.forEach(client -> client.setLostAnswerRatio(0));
        fleet.runFor(15_000);
        for (int i = 1; i <= 20; i++) {
            JobAnswer answer = fleet.answerAfter(500, fleet.query(fleet.nodes.get(0), JobFleet.id(i)));
            assertEquals(answer, new JobAnswer.State(JobState.COMPLETED), "job " + i);
        }
        assertNoViolations(fleet);
    }

    /** Records of an open job that another writer overwrites before the leader ends. */
    @DataProvider
    public Object[][] oddRecords() {
        String row = "[0,0,0,false,1,0,0,\"\",null,0]";
        return new Object[][] {
            {"progress/", ""},
            {"progress/", "not json"},
            {"progress/", "{}"},
            {"progress/", "{\"items\":7}"},
            {"progress/", "{\"items\":[null]}"},
            {"progress/", "{\"items\":[" + row.replace("[0,0,0", "[0,0,-1") + "]}"},
            {"progress/", "{\"items\":[" + row.replace("[0,0,0", "[0,0,9") + "]}"},
            {"progress/", "{\"items\":[" + row.replace("[0,0,0", "[0,7,0") + "]}"},
            {"progress/", "{\"items\":[" + row.replace("[0,0,0", "[2147483647,0,0") + "]}"},
            {"progress/", "{\"items\":[" + row.replace("false,1", "false,0") + "]}"},
            {"progress/", "{\"items\":[" + row.replace("false,1", "false,99999999999999999999") + "]}"},
            {"progress/", "{\"items\":[" + row.replace("\"\"", "null") + "]}"},
            {"jobs/ended/", ""},
            {"jobs/ended/", "ODD"},
            {"jobs/ended/", "RUNNING"}
        };
    }

    @Test(dataProvider = "oddRecords")
    public void jobWithOddRecordIsNotStartedAnewAndHarmsNoOther(String kind, String value) {
        JobFleet fleet = JobFleet.running(2, 2);
        String id = JobFleet.id(1);
        JobNode leader = fleet.leader();
        fleet.answerAfter(
                300, fleet.submit(leader, id, JobFleet.step(2, 1000, 200), JobFleet.step(2, 1000, 60_000, 0)));
        fleet.runFor(1500);
        int starts = fleet.model.invariants().startCount();
        fleet.kill(leader);
        String key = "/basilswitch/test/" + kind + id;
        fleet.store.commit(Transaction.builder()
                .put(key, value.getBytes(StandardCharsets.UTF_8))
                .build());
        fleet.runFor(5000);
        assertTrue(fleet.leader() != leader);
        fleet.answerAfter(300, fleet.submit(fleet.leader(), JobFleet.id(2), JobFleet.step(3, 1000, 100)));
        fleet.runFor(15_000);
        assertEquals(state(fleet, fleet.leader(), JobFleet.id(2)), JobState.COMPLETED);
        assertEquals(fleet.model.invariants().startCount(), starts + 3, String.join("\n", fleet.events));
        assertTrue(
                fleet.events.stream().anyMatch(event -> event.contains("JOB_RECORD_INVALID key=" + key)),
                String.join("\n", fleet.events));
        assertNoViolations(fleet);
    }

    @Test
    public void restartedServerRunsNoEarlierWork() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(8, 8000, 2000)));
        fleet.model.restart("s0");
        fleet.runFor(6000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(1)), JobState.COMPLETED);
        assertNoViolations(fleet);
    }

    @Test
    public void delayedStartIsBlockedOnNextIncarnation() {
        for (int servers = 2; servers <= 6; servers++) {
            JobFleet fleet = JobFleet.running(2, servers);
            String id = JobFleet.id(1);
            for (int i = 0; i < servers; i++) {
                fleet.model.loseNextStart("s" + i);
            }
            fleet.answerAfter(50, fleet.submit(fleet.nodes.get(0), id, JobFleet.step(1, 20_000, 9000)));
            for (int i = 0; i < servers; i++) {
                if (fleet.model.server("s" + i) != null) {
                    fleet.model.restart("s" + i);
                }
            }
            fleet.runFor(35_000);
            assertEquals(state(fleet, fleet.nodes.get(1), id), JobState.COMPLETED);
            assertNoViolations(fleet);
        }
    }

    @Test
    public void gangStartsAllMembersOrNone() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(10, 8000, 1000)));
        fleet.answerAfter(200, fleet.submit(fleet.nodes.get(0), JobFleet.id(2), JobFleet.gang(8, 8000, 500)));
        assertEquals(fleet.model.activeRunCount(), 10, "capacity for only six of the eight members");
        fleet.runFor(5000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(2)), JobState.COMPLETED);
        assertEquals(fleet.model.invariants().startCount(), 18);
        assertNoViolations(fleet);
    }

    @Test
    public void leaderWithoutConfigurationStartsWorkOnceItArrives() {
        JobFleet fleet = new JobFleet();
        fleet.addServers(4);
        fleet.deleteConfiguration();
        fleet.addNode();
        fleet.runFor(1500);
        fleet.configure(new Resources(0, 0, 0), 3);
        fleet.runFor(3000);
        List<String> hosts = List.of("host-s0", "host-s1");
        fleet.model.addWave(new WaveStore.WaveRequest(1, hosts, Duration.ofSeconds(26), 1, false, false));
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(2, 1000, 100)));
        fleet.runFor(15_000);
        assertEquals(state(fleet, fleet.nodes.get(0), JobFleet.id(1)), JobState.COMPLETED);
        assertEquals(fleet.model.maintainedHosts().size(), 2, String.join("\n", fleet.events));
    }

    @Test
    public void endedJobRecordsAreDeletedAfterRetention() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(2, 1000, 100)));
        fleet.runFor(200_000);
        assertEquals(state(fleet, fleet.nodes.get(1), JobFleet.id(1)), JobState.COMPLETED);
        fleet.runFor(60_000);
        JobAnswer answer = fleet.answerAfter(500, fleet.query(fleet.nodes.get(1), JobFleet.id(1)));
        assertEquals(answer, new JobAnswer.UnknownJob());
        assertEquals(fleet.store.range("/basilswitch/test/jobs/accepted/").entries(), List.of());
    }

    @Test
    public void drainingServerGetsNoNewWork() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.model.markDraining("s0");
        fleet.runFor(1000);
        fleet.answerAfter(400, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(4, 8000, 1000)));
        assertEquals(fleet.model.server("s0").activeRunCount(), 0);
        assertEquals(fleet.model.server("s1").activeRunCount(), 4);
    }

    @Test
    public void waveMaintainsAllHostsWithinLimitAndKeepsLongRunningWork() {
        JobFleet fleet = JobFleet.running(2, 8);
        fleet.answerAfter(500, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.longRunning(5, 6000, 1)));
        List<String> hosts = List.of("host-s0", "host-s1", "host-s2", "host-s3", "host-s4", "host-s5");
        fleet.model.addWave(new WaveStore.WaveRequest(1, hosts, Duration.ofSeconds(26), 2, false, false));
        int fewest = 5;
        for (int i = 0; i < 400; i++) {
            fleet.runFor(50);
            int atWork = 0;
            for (int k = 0; k < 5; k++) {
                atWork += fleet.model.invariants().isRunning(new ItemId(JobFleet.id(1), 0, 0, k)) ? 1 : 0;
            }
            fewest = Math.min(fewest, atWork);
        }
        assertEquals(fleet.model.maintainedHosts().size(), 6, String.join("\n", fleet.events));
        assertTrue(fleet.model.maxHostsDown() <= 2, "hosts down at the same time: " + fleet.model.maxHostsDown());
        assertTrue(fewest >= 4, "long-running work items in progress: " + fewest);
        assertNoViolations(fleet);
    }
}
