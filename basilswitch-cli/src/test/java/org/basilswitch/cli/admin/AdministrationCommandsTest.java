package org.basilswitch.cli.admin;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.basilswitch.cli.admin.RunningSite.CommandOutput;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Runs the administration commands against an entry host. */
public final class AdministrationCommandsTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final List<String> SETTINGS = List.of(
            "--settings",
            ROOT.resolve("sites/base.json").toString(),
            "--overlay",
            ROOT.resolve("sites/fraser-fathom.json").toString());

    private RunningSite site;

    /** Starts the entry host and applies the settings. */
    @BeforeClass
    public void start() {
        site = RunningSite.start();
        CommandOutput applied = site.run(withSettings("apply"));
        assertEquals(applied.code(), Output.DONE, applied.errors());
        assertTrue(applied.out().contains("56 records written"), applied.out());
    }

    /** Stops the entry host. */
    @AfterClass
    public void stop() {
        site.close();
    }

    private static String[] withSettings(String command, String... more) {
        return Stream.of(Stream.of(command), SETTINGS.stream(), Stream.of(more))
                .flatMap(part -> part)
                .toArray(String[]::new);
    }

    private CommandOutput runSuccessfully(String... arguments) {
        CommandOutput run = site.run(arguments);
        assertEquals(run.code(), Output.DONE, String.join(" ", arguments) + ": " + run.errors());
        return run;
    }

    /** Applying again writes nothing, and {@code diff} prints nothing until the running site is changed. */
    @Test
    public void applyingAgainWritesNothing() {
        RunningSite fresh = RunningSite.start();
        try (fresh) {
            assertTrue(fresh.run(withSettings("apply", "--dry-run")).out().contains("would write queues/invoices"));
            assertTrue(fresh.run(withSettings("apply")).out().contains("56 records written"));
            assertTrue(fresh.run(withSettings("apply")).out().contains("0 records written"));
            CommandOutput diff = fresh.run(withSettings("diff"));
            assertEquals(diff.code(), 0, diff.out());
            fresh.run("limit", "set", "burnaby-diners", "50");
            assertEquals(fresh.run(withSettings("diff")).out().trim(), "~ teams.burnaby-diners.limitTasks: 50 -> 48");
        }
    }

    /** Shares and limits are set and listed; a limit of an unknown team is refused. */
    @Test
    public void sharesAndLimitsAreSetAndListed() {
        assertTrue(
                runSuccessfully("limit", "set", "delta-kitchens", "170").out().contains("in force at 1 of 1"));
        runSuccessfully("share", "set", "delta-kitchens", "5");
        assertTrue(runSuccessfully("limit", "list").out().matches("(?s).*delta-kitchens +170\\s.*"));
        assertTrue(runSuccessfully("share", "list", "--json").out().contains("\"shareWeight\" : 5"));
        assertEquals(site.run("limit", "set", "nobody", "1").code(), Output.REFUSED);
    }

    /** A key's secret is printed only when the key is created, and the hash of a withdrawn key can't be granted again. */
    @Test
    public void keysAreCreatedGrantedAndWithdrawn() {
        CommandOutput created = runSuccessfully("key", "create", "tablet", "--team", "fathom-drivers");
        assertTrue(created.out().contains("secret (shown only now): "));
        CommandOutput shown = runSuccessfully("key", "show", "tablet");
        String secret =
                created.out().substring(created.out().indexOf("now): ") + 6).trim();
        assertFalse(shown.out().contains(secret));
        runSuccessfully("key", "grant", "tablet", "--team", "delta-kitchens");
        String hash = shown.out().replaceAll("(?s).*\"sha256Hex\" : \"([0-9a-f]{64})\".*", "$1");
        runSuccessfully("key", "withdraw", "tablet");
        CommandOutput again = site.run("key", "grant", "tablet", "--team", "fathom-drivers", "--sha256", hash);
        assertEquals(again.code(), Output.REFUSED);
        assertTrue(again.errors().contains("key-hash-used"), again.errors());
    }

    /** A host is moved to another pool only once it is drained, and a pool with hosts can't be removed. */
    @Test
    public void hostMovesOnlyOnceDrained() {
        CommandOutput refused = site.run("host", "move", "host-01", "--to", "invoices");
        assertTrue(refused.errors().contains("host-not-drained"), refused.errors());
        runSuccessfully("host", "drain", "host-01");
        runSuccessfully("host", "move", "host-01", "--to", "invoices");
        assertTrue(runSuccessfully("host", "show", "host-01").out().contains("\"pool\" : \"invoices\""));
        runSuccessfully("host", "drain", "host-02");
        runSuccessfully("host", "activate", "host-02");
        assertEquals(site.run("pool", "remove", "invoices").code(), Output.REFUSED);
    }

    /** A wave is planned, started, paused, resumed and aborted. */
    @Test
    public void waveIsPlannedStartedPausedResumedAndAborted() {
        runSuccessfully("wave", "plan", "kernel", "--pools", "manifests", "--concurrent", "2");
        runSuccessfully("wave", "start", "kernel");
        assertEquals(site.run("wave", "start", "no-such").code(), Output.REFUSED);
        runSuccessfully("wave", "pause", "kernel");
        runSuccessfully("wave", "resume", "kernel");
        runSuccessfully("wave", "abort", "kernel");
        assertTrue(runSuccessfully("wave", "list").out().contains("ABORTED"));
        runSuccessfully("wave", "remove", "kernel");
    }

    /** Pools, teams and queues are added, changed and removed. */
    @Test
    public void recordsAreAddedAndRemoved() {
        runSuccessfully("pool", "add", "extra");
        runSuccessfully("queue", "set", "extra-queue", "--pool", "extra", "--idempotent", "true");
        runSuccessfully("queue", "set", "extra-queue", "--deadline-ms", "1500");
        assertTrue(runSuccessfully("queue", "show", "extra-queue").out().contains("\"deadlineMs\" : 1500"));
        runSuccessfully("queue", "remove", "extra-queue");
        runSuccessfully("pool", "remove", "extra");
        runSuccessfully("team", "add", "guests", "--limit", "3");
        runSuccessfully("team", "remove", "guests");
        runSuccessfully(
                "host",
                "add",
                "host-99",
                "--address",
                "127.0.0.1:19099",
                "--pool",
                "backoffice",
                "--zone",
                "surrey",
                "--rack",
                "rack-10");
        assertTrue(runSuccessfully("pool", "list").out().contains("backoffice"));
    }

    /** The status and the audit log show the applied records. */
    @Test
    public void statusAndAuditShowApplied() {
        String status = runSuccessfully("status").out();
        assertTrue(status.contains("site fraser-fathom"), status);
        assertTrue(status.contains("backoffice (spare)"), status);
        assertTrue(runSuccessfully("status", "--json").out().contains("\"answeredBy\" : \"entry-1\""));
        assertTrue(runSuccessfully("audit", "--record", "teams/city-inspectors")
                .out()
                .contains("by ada at "));
    }

    /** The message for a wrong key or an unreachable entry host says what to do. */
    @Test
    public void failuresNameTheRemedy() {
        CommandOutput wrongKey = RunningSite.runOffline("status", "--url", site.url(), "--operator-key", "wrong");
        assertEquals(wrongKey.code(), Output.REFUSED);
        assertTrue(wrongKey.errors().contains("Send your operator key"), wrongKey.errors());
        CommandOutput unreachable =
                RunningSite.runOffline("status", "--url", "http://127.0.0.1:1", "--operator-key", "x");
        assertEquals(unreachable.code(), Output.REFUSED);
        assertTrue(unreachable.errors().contains("check --url"), unreachable.errors());
    }

    /** Checking settings offline prints problems with their locations and sets the exit code. */
    @Test
    public void checkReportsProblemsOffline() {
        CommandOutput good = RunningSite.runOffline(withSettings("check"));
        assertTrue(good.out().contains("complete and consistent"), good.errors());
        CommandOutput bad = RunningSite.runOffline("check", "--settings", SETTINGS.get(1));
        assertEquals(bad.code(), 1);
        assertTrue(bad.errors().contains("base.json:3:1: site: missing"), bad.errors());
    }
}
