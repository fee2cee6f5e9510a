package org.basilswitch.bench.model;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the promise protocol by an exhaustive check within small bounds, and the check itself by mutations. */
public final class PromiseModelTest {
    private static final ModelBound SMALL = new ModelBound(3, 1, 1, 1, 1, 400_000);

    /** No state within the bounds violates the invariant, and all of them are explored. */
    @Test
    public void protocolHasNoViolation() {
        PromiseModel.Result result = PromiseModel.check(SMALL, ProtocolMutation.NONE);
        Assert.assertTrue(result.violation().isEmpty(), result.violation().toString());
        Assert.assertTrue(result.complete(), "visited " + result.states() + " states");
    }

    /** Provides the mutations. */
    @DataProvider
    public Object[][] mutations() {
        return new Object[][] {
            {ProtocolMutation.ACKNOWLEDGES_IMMEDIATELY},
            {ProtocolMutation.PROMISES_TO_OLDER_REVISION},
            {ProtocolMutation.MEASURES_FROM_ARRIVAL},
            {ProtocolMutation.IGNORES_CLOCK_DRIFT},
            {ProtocolMutation.SUCCESSOR_DOES_NOT_WAIT},
            {ProtocolMutation.CONCURRENT_MEMBER_CHANGES},
            {ProtocolMutation.HALF_COUNTS_AS_MAJORITY},
        };
    }

    /** The check detects each mutation of the protocol. */
    @Test(dataProvider = "mutations")
    public void mutationIsDetected(ProtocolMutation mutation) {
        ModelBound bound = new ModelBound(3, 2, 2, 1, 1, 400_000);
        PromiseModel.Result result = PromiseModel.check(bound, mutation);
        Assert.assertFalse(result.violation().isEmpty(), mutation + " not detected in " + result.states() + " states");
    }
}
