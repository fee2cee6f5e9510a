package org.basilswitch.time;

import java.time.Duration;

/** Schedules tasks on the event loop that owns the entry host's state. */
public interface Scheduler {

    /**
     * Runs a task once after a delay.
     *
     * @param delay time to wait; a delay of zero runs the task in a later iteration of the event loop
     * @param task task to run
     * @return handle that cancels the task
     */
    Timer schedule(Duration delay, Runnable task);

    /** A pending task. */
    interface Timer {
        /** Cancels the task; has no effect when the task has already run. */
        void cancel();
    }
}
