package org.basilswitch.schedule;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class DurationModelTest {

    @Test
    public void modelWithoutSamplesReturnsTheEstimate() {
        assertEquals(DurationModel.create().expectedMs("q", 800), 800, 1);
    }

    @Test
    public void constantEstimateErrorIsLearned() {
        DurationModel model = DurationModel.create();
        for (int i = 1; i <= 300; i++) {
            long estimate = 200 + i % 20 * 100;
            model.add("q", estimate, estimate * 2);
        }
        assertEquals(model.expectedMs("q", 1000), 2000, 120);
        assertEquals(model.expectedMs("other", 1000), 1000, 1);
    }

    @Test
    public void uninformativeEstimatesYieldTheMeanDuration() {
        DurationModel model = DurationModel.create();
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(3);
        for (int i = 0; i < 400; i++) {
            model.add("q", (long) (100 + 3000 * random.nextDouble()), 800 + 100 * random.nextDouble());
        }
        assertEquals(model.expectedMs("q", 100), 850, 150);
        assertEquals(model.expectedMs("q", 3000), 850, 150);
    }
}
