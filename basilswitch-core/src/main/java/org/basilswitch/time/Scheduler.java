package org.basilswitch.time;

import java.time.Duration;

/** Runs tasks later on the event loop that owns the entry host's state. */
public interface Scheduler {

    /**
     * Runs a task once after a delay.
     *
     * @param delay time to wait; zero runs the task in a later turn of the event loop
     * @param task the task
     * @return a handle that cancels the task
     */
    Timer schedule(Duration delay, Runnable task);

    /** A pending task. */
    interface Timer {
        /** Cancels the task; without effect when it has run. */
        void cancel();
    }
}
