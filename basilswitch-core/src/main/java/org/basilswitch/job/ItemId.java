package org.basilswitch.job;

import java.util.Optional;

/**
 * Names a work item.
 *
 * @param job job
 * @param occurrence occurrence, 0 for a job that runs once
 * @param step number of the step
 * @param index number within the step
 */
public record ItemId(String job, int occurrence, int step, int index) {

    /** Parses the text form; empty when the text does not name a work item. */
    public static Optional<ItemId> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != 4 || parts[0].isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ItemId(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Names the step that the work item belongs to. */
    public String stepName() {
        return job + "." + occurrence + "." + step;
    }

    @Override
    public String toString() {
        return stepName() + "." + index;
    }
}
