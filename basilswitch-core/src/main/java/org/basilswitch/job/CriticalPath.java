package org.basilswitch.job;

import java.util.List;
import java.util.function.IntToDoubleFunction;

/** Critical path of a job: its longest chain of steps that depend on each other. */
public final class CriticalPath {
    private CriticalPath() {}

    /**
     * Returns the duration of the critical path over all steps, in ms.
     *
     * @param stepMs expected duration of a step by its number, ms
     */
    public static double ofMs(List<StepSpec> steps, IntToDoubleFunction stepMs) {
        double longest = 0;
        double[] finish = new double[steps.size()];
        for (int s = 0; s < finish.length; s++) {
            for (int earlier : steps.get(s).after()) {
                finish[s] = Math.max(finish[s], finish[earlier]);
            }
            finish[s] += stepMs.applyAsDouble(s);
            longest = Math.max(longest, finish[s]);
        }
        return longest;
    }
}
