package org.basilswitch.standin.jobs;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.basilswitch.intake.JobNode;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.ServerCommands;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Details of the events from which an operator tells why a work item was started again. */
final class JobEventsTest {
    /** Lease of the runs, which lasts 2 % longer on the slowest clock. */
    private static final long LONGEST_LEASE_MS = 4082;
    /** Interval of the scheduler's check for expired leases, and the delay of a message. */
    private static final long CHECK_MS = 110;

    private static List<String> events(JobFleet fleet, String code) {
        return fleet.events.stream()
                .filter(event -> event.contains(" " + code + " "))
                .toList();
    }

    private static String onlyEvent(JobFleet fleet, String code) {
        List<String> events = events(fleet, code);
        assertEquals(events.size(), 1, String.join("\n", fleet.events));
        return events.getFirst();
    }

    private static Matcher match(String event, String regex) {
        Matcher matcher = Pattern.compile("\\d+ " + regex).matcher(event);
        assertTrue(matcher.matches(), event);
        return matcher;
    }

    private static void assertBetween(long value, long min, long max) {
        assertTrue(value >= min && value <= max, value + " is not between " + min + " and " + max);
    }

    @Test
    public void expiredLeaseTellsAgeOfReport() {
        JobFleet fleet = JobFleet.running(1, 1);
        fleet.answerAfter(1500, fleet.submit(fleet.nodes.getFirst(), JobFleet.id(1), JobFleet.longRunning(1, 1000, 0)));
        fleet.model.setUnreachable("s0", true);
        fleet.runFor(9000);
        Matcher lost = match(
                onlyEvent(fleet, "RUN_LOST"),
                "RUN_LOST run=0000000000000001\\.0\\.0\\.0#1@s0 lease expired reportAgeMs=(\\d+) overdueMs=(\\d+)"
                        + " phase=RUNNING recovered=false");
        assertBetween(Long.parseLong(lost.group(1)), LONGEST_LEASE_MS, 2 * LONGEST_LEASE_MS);
        assertBetween(Long.parseLong(lost.group(2)), 0, CHECK_MS);
    }

    @Test
    public void takeoverTellsRecoveredRunsAndTheirHold() {
        JobFleet fleet = JobFleet.running(3, 1);
        JobNode leader = fleet.leader();
        fleet.answerAfter(1500, fleet.submit(leader, JobFleet.id(1), JobFleet.longRunning(3, 1000, 0)));
        fleet.events.clear();
        fleet.kill(leader);
        fleet.model.setUnreachable("s0", true);
        fleet.runFor(9000);
        match(
                onlyEvent(fleet, "SCHEDULER_STARTED"),
                "SCHEDULER_STARTED fence=\\d+ jobs=1 ended=0 recoveredRuns=3 heldMs=4200");
        // The host that was cut off considers its runs lost as well, as runs of its own.
        List<String> lost = events(fleet, "RUN_LOST").stream()
                .filter(event -> event.endsWith(" recovered=true"))
                .toList();
        assertEquals(lost.size(), 3, String.join("\n", fleet.events));
        lost.forEach(event -> match(
                event,
                "RUN_LOST run=0000000000000001\\.0\\.0\\.\\d#1@s0 lease expired reportAgeMs=none overdueMs=\\d+"
                        + " phase=RECOVERED recovered=true"));
    }

    /** The incident fraser-inc1-twice: runs that were taken over and have been reported since are lost later. */
    @Test
    public void recoveredRunIsToldAfterItsReport() {
        JobFleet fleet = JobFleet.running(3, 1);
        JobNode leader = fleet.leader();
        fleet.answerAfter(1500, fleet.submit(leader, JobFleet.id(1), JobFleet.longRunning(1, 1000, 0)));
        fleet.kill(leader);
        fleet.runFor(5000);
        fleet.events.clear();
        fleet.model.setUnreachable("s0", true);
        fleet.runFor(9000);
        match(
                events(fleet, "RUN_LOST").getFirst(),
                "RUN_LOST run=0000000000000001\\.0\\.0\\.0#1@s0 lease expired reportAgeMs=\\d+ overdueMs=\\d+"
                        + " phase=RUNNING recovered=true");
    }

    /** A run of a job that the scheduler doesn't know, like one that was considered lost and is still in progress. */
    @Test
    public void unknownRunTellsItsServer() {
        JobFleet fleet = JobFleet.running(1, 1);
        StepSpec step = JobFleet.longRunning(1, 1000, 0);
        fleet.model.registerJob(new JobSubmission(JobFleet.id(1), "queue", "team", "spec", List.of(step), null, 0));
        ServerModel server = fleet.model.server("s0");
        server.start(
                fleet.commandsOf(fleet.leader()).lastFencingToken(),
                new ServerCommands.StartCommand(
                        new ItemId(JobFleet.id(1), 0, 0, 0),
                        2,
                        "spec",
                        server.clockMs() + LONGEST_LEASE_MS,
                        "",
                        Optional.empty()));
        fleet.runFor(2000);
        match(events(fleet, "RUN_UNKNOWN").getFirst(), "RUN_UNKNOWN item=0000000000000001\\.0\\.0\\.0 run=2 server=s0");
    }
}
