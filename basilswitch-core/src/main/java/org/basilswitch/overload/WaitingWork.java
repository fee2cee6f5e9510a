package org.basilswitch.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Work that is started in ascending order of work per value.
 *
 * @param workPerValue work per value of the last job, core-milliseconds
 * @param totalCoreMs processor time that is to be started, including that of all jobs before, core-milliseconds
 */
public record WaitingWork(double workPerValue, double totalCoreMs) {
    /** Number of groups that the jobs of a pool are summed up in. */
    private static final int MAX_GROUPS = 8;
    /** Ratio of the work per value of two jobs up to which they count as equal, as it is an estimate. */
    private static final double TIE_RATIO = 1.05;

    /**
     * Sums up jobs in groups of about the same work.
     *
     * @param jobs work per value and processor time of each job
     */
    static List<WaitingWork> sumUp(List<WaitingWork> jobs) {
        List<WaitingWork> sorted = new ArrayList<>(jobs);
        sorted.sort(Comparator.comparingDouble(WaitingWork::workPerValue));
        double total = sorted.stream().mapToDouble(WaitingWork::totalCoreMs).sum();
        List<WaitingWork> groups = new ArrayList<>();
        if (total <= 0) {
            return groups;
        }
        double sum = 0;
        for (int i = 0; i < sorted.size(); i++) {
            sum += sorted.get(i).totalCoreMs();
            boolean last = i == sorted.size() - 1;
            if (last || sum >= total * (groups.size() + 1) / MAX_GROUPS) {
                // Whole numbers are short in messages.
                groups.add(new WaitingWork(Math.rint(sorted.get(i).workPerValue()), Math.rint(sum)));
            }
        }
        return groups;
    }

    /** Returns the processor time of the groups in which all jobs have no more work per value than a given one. */
    static double before(List<WaitingWork> groups, double workPerValue) {
        double before = 0;
        for (WaitingWork group : groups) {
            if (group.workPerValue() > workPerValue * TIE_RATIO) {
                break;
            }
            before = group.totalCoreMs();
        }
        return before;
    }

    /** Returns the processor time of all groups. */
    static double total(List<WaitingWork> groups) {
        return groups.isEmpty() ? 0 : groups.get(groups.size() - 1).totalCoreMs();
    }
}
