package org.basilswitch.schedule;

import java.util.OptionalInt;
import java.util.function.Function;

/** Compares the failed runs of work items with the limit of their queue. */
final class AttemptLimits {
    private final Function<WorkItem, OptionalInt> maxAttempts;

    /**
     * Creates the comparison.
     *
     * @param maxAttempts returns the limit of a work item's failed runs, 0 for none; empty while it is unknown
     */
    AttemptLimits(Function<WorkItem, OptionalInt> maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Returns whether any work item of a job has no attempt left; defers the decision while the limit is unknown. */
    boolean isExhausted(ActiveJob job) {
        return job.items().stream().anyMatch(this::isExhausted);
    }

    /** Returns whether a work item has no attempt left; defers the decision while the limit is unknown. */
    boolean isExhausted(WorkItem item) {
        int failures = failures(item);
        if (failures == 0) {
            return false;
        }
        OptionalInt limit = maxAttempts.apply(item);
        if (limit.isEmpty()) {
            item.job().deferFailure();
            return false;
        }
        return limit.getAsInt() > 0 && failures >= limit.getAsInt();
    }

    /** Returns the failed runs of an item and their limit, for logs. */
    String describe(WorkItem item) {
        OptionalInt limit = maxAttempts.apply(item);
        return "failures=" + failures(item) + "/"
                + (limit.isPresent() ? Integer.toString(limit.getAsInt()) : "unknown");
    }

    /** Returns the number of failed runs of an item, or of its gang. */
    private static int failures(WorkItem item) {
        return item.spec().gang()
                ? FailedRuns.countOfGang(item.job().stepOf(item.id()).stream()
                        .map(WorkItem::failedRuns)
                        .toList())
                : item.failures();
    }
}
