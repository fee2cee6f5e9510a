package org.basilswitch.fleet;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests the timeout of a reboot when the wall clocks of two controllers differ. */
public final class RebootTimesTest {
    private static final long REBOOT_MS = 120_000;

    /** A reboot that ends before its start, by the clocks of two controllers, does not make later ones time out. */
    @Test
    public void rebootThatEndsBeforeItsStartIsIgnored() {
        RebootTimes times = new RebootTimes(FleetOptions.defaults());
        times.add(-480_000);
        Assert.assertEquals(
                times.faultyAfterMs(), FleetOptions.defaults().returnTimeout().toMillis());
        times.add(REBOOT_MS);
        times.add(-480_000);
        Assert.assertTrue(times.faultyAfterMs() >= REBOOT_MS, times.faultyAfterMs() + " ms");
    }
}
