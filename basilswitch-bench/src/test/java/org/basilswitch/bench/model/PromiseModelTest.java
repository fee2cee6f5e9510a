package org.basilswitch.bench.model;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The exhaustive check on a small bound, and the deliberate breaks that it has to find. */
public final class PromiseModelTest {
    private static final ModelBound SMALL = new ModelBound(3, 1, 1, 1, 1, 400_000);

    /** Every state within the bound keeps the promise. */
    @Test
    public void protocolHolds() {
        PromiseModel.Result result = PromiseModel.check(SMALL, ProtocolMutation.NONE);
        Assert.assertTrue(result.violation().isEmpty(), result.violation().toString());
        Assert.assertTrue(result.complete(), "visited " + result.states() + " states");
    }

    /** The deliberate breaks. */
    @DataProvider
    public Object[][] breaks() {
        return new Object[][] {
            {ProtocolMutation.ACKNOWLEDGES_AT_ONCE},
            {ProtocolMutation.PROMISES_ALWAYS},
            {ProtocolMutation.COUNTS_FROM_ARRIVAL},
            {ProtocolMutation.IGNORES_DRIFT},
            {ProtocolMutation.SUCCESSOR_DOES_NOT_WAIT},
            {ProtocolMutation.TWO_CHANGES_AT_ONCE},
            {ProtocolMutation.HALF_IS_ENOUGH},
        };
    }

    /** Each deliberate break is found. */
    @Test(dataProvider = "breaks")
    public void breakIsFound(ProtocolMutation broken) {
        ModelBound bound = new ModelBound(3, 2, 2, 1, 1, 400_000);
        PromiseModel.Result result = PromiseModel.check(bound, broken);
        Assert.assertFalse(result.violation().isEmpty(), broken + " not found in " + result.states() + " states");
    }
}
