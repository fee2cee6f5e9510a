package org.basilswitch.job;

import java.util.Optional;

/**
 * Identifies a work item; its text form is {@code job.occurrence.step.index}.
 *
 * @param job identifier of the job
 * @param occurrence number of the occurrence, from 0; 0 for a job that runs once
 * @param step number of the step in the job, from 0
 * @param index number of the work item in the step, from 0
 */
public record ItemId(String job, int occurrence, int step, int index) {

    /** Parses the text form; empty when the text is not a valid identifier. */
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

    /** Returns the text form of the step that the work item belongs to, {@code job.occurrence.step}. */
    public String stepName() {
        return job + "." + occurrence + "." + step;
    }

    @Override
    public String toString() {
        return stepName() + "." + index;
    }
}
