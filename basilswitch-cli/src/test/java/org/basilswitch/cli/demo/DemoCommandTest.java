package org.basilswitch.cli.demo;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.basilswitch.cli.Main;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** End-to-end tests over loopback: the demo of each site passes every check of its report. */
public final class DemoCommandTest {
    private static final int EXPECTED_CHECKS = 6;

    /** Returns the names of the shipped sites. */
    @DataProvider
    public Object[][] sites() {
        return new Object[][] {{"fraser-fathom"}, {"canelones"}};
    }

    private static int run(StringWriter out, StringWriter errors, String... arguments) {
        CommandLine commands = Main.commandLine();
        commands.setOut(new PrintWriter(out));
        commands.setErr(new PrintWriter(errors));
        return commands.execute(arguments);
    }

    /** After two seconds of load the demo exits with code 0 and a report in which every check is ok. */
    @Test(dataProvider = "sites")
    public void demoPassesEveryCheck(String site) {
        StringWriter out = new StringWriter();
        int code = run(out, new StringWriter(), "demo", "--site", site, "--seconds", "2", "--plain");
        assertEquals(code, 0, out.toString());
        assertEquals(
                out.toString().lines().filter(line -> line.startsWith("ok ")).count(), EXPECTED_CHECKS, out.toString());
        assertFalse(out.toString().contains("FAIL"), out.toString());
    }

    /** A site that is not shipped and too many entry hosts are refused. */
    @Test
    public void unknownSiteAndTooManyEntryHostsAreRefused() {
        StringWriter errors = new StringWriter();
        assertTrue(run(new StringWriter(), errors, "demo", "--site", "nowhere") != 0);
        assertTrue(errors.toString().contains("no site nowhere"), errors.toString());
        assertEquals(run(new StringWriter(), new StringWriter(), "demo", "--entry-hosts", "99"), 2);
    }
}
