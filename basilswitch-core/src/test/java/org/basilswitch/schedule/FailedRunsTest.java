package org.basilswitch.schedule;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Failed runs of records of this version and of earlier ones, which count them without their numbers. */
final class FailedRunsTest {

    @Test
    public void runCountsOnceInAnyOrder() {
        FailedRuns failed = FailedRuns.none();
        List.of(2, 1, 2, 1).forEach(failed::add);
        assertEquals(failed.count(), 2);
        assertEquals(failed.numbers(), List.of(1, 2));
        assertEquals(failed.last(), 2);
    }

    /** Guards against a failure that counts twice because an earlier version has counted it without its number. */
    @Test
    public void runsUpToLastOneOfEarlierVersionAreNotCountedAgain() {
        FailedRuns failed = FailedRuns.of(row(2, 3, null));
        failed.add(1);
        failed.add(3);
        assertEquals(failed.count(), 2);
        failed.add(4);
        FailedRuns restored = FailedRuns.of(row(failed.count(), failed.last(), failed.numbers()));
        restored.add(3);
        restored.add(4);
        assertEquals(restored.count(), 3);
    }

    @Test
    public void membersOfGangFailTogether() {
        FailedRuns first = FailedRuns.of(row(1, 1, List.of(1)));
        FailedRuns second = FailedRuns.of(row(2, 2, List.of(1, 2)));
        assertEquals(FailedRuns.countOfGang(List.of(first, second)), 2);
    }

    private static ProgressRecord.ItemRow row(int failures, int lastFailedRun, List<Integer> failedRuns) {
        return new ProgressRecord.ItemRow(0, 0, 0, false, 5, failures, lastFailedRun, "", null, 0, 0, true, failedRuns);
    }
}
