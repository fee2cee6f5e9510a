package org.basilswitch.bench.faults;

import org.basilswitch.event.Telemetry;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs a fixed set of seeds of the randomised fault run. */
public final class FaultRunTest {
    private static final int SEEDS = 8;
    private static final int MINUTES = 1;

    /** Provides the seeds. */
    @DataProvider
    public Object[][] seeds() {
        Object[][] rows = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            rows[i] = new Object[] {1_000L + i};
        }
        return rows;
    }

    /** No seed violates a guarantee, and each makes more checks than calls. */
    @Test(dataProvider = "seeds")
    public void guaranteesHoldUnderFaults(long seed) {
        FaultRun.Report report = FaultRun.run(seed, MINUTES, Telemetry.none());
        Assert.assertEquals(report.violations().size(), 0, report.violations() + "\n" + report.trace());
        Assert.assertTrue(report.checks() > report.calls(), "no more guarantee checks than calls");
    }

    /** Two runs of the same seed give equal reports. */
    @Test
    public void runIsDeterministic() {
        FaultRun.Report first = FaultRun.run(7, MINUTES, Telemetry.none());
        Assert.assertEquals(FaultRun.run(7, MINUTES, Telemetry.none()), first);
    }
}
