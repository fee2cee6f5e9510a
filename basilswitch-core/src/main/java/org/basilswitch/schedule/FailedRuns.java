package org.basilswitch.schedule;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The failed runs of a work item, each counted once however often its end is reported and in whichever order: copies fail
 * before or after later runs, and a server reports an end again to the next leader until it is acknowledged.
 */
final class FailedRuns {
    private final SortedSet<Integer> numbers = new TreeSet<>();
    /** Failed runs that a record of an earlier version counts without their numbers. */
    private final int unnumbered;
    /** Number of the last run that an earlier version has counted; runs up to it are not counted again. */
    private final int lastUnnumbered;

    private FailedRuns(Collection<Integer> numbers, int unnumbered, int lastUnnumbered) {
        this.numbers.addAll(numbers);
        this.unnumbered = unnumbered;
        this.lastUnnumbered = lastUnnumbered;
    }

    /** Returns the failed runs of a work item that has not run yet. */
    static FailedRuns none() {
        return new FailedRuns(List.of(), 0, 0);
    }

    /** Returns the failed runs of a progress record. */
    static FailedRuns of(ProgressRecord.ItemRow row) {
        List<Integer> numbers = row.failedRuns();
        int unnumbered = row.failures() - numbers.size();
        if (unnumbered <= 0) {
            return new FailedRuns(numbers, 0, 0);
        }
        int lastUnnumbered =
                numbers.stream().min(Integer::compare).map(first -> first - 1).orElse(row.lastFailedRun());
        return new FailedRuns(numbers, unnumbered, lastUnnumbered);
    }

    /** Counts a failed run unless it was counted before. */
    void add(int run) {
        if (run > lastUnnumbered) {
            numbers.add(run);
        }
    }

    int count() {
        return unnumbered + numbers.size();
    }

    /** Returns the failed runs whose numbers are known, in ascending order. */
    List<Integer> numbers() {
        return List.copyOf(numbers);
    }

    /** Returns the highest number of a failed run; 0 when none has failed. */
    int last() {
        return numbers.isEmpty() ? lastUnnumbered : numbers.last();
    }

    /** Returns the number of failed runs of a gang, whose members fail together in one run. */
    static int countOfGang(Collection<FailedRuns> members) {
        SortedSet<Integer> numbers = new TreeSet<>();
        int unnumbered = 0;
        for (FailedRuns member : members) {
            numbers.addAll(member.numbers);
            unnumbered += member.unnumbered;
        }
        return unnumbered + numbers.size();
    }
}
