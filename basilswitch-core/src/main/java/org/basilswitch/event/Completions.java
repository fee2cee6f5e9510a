package org.basilswitch.event;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Runs actions on the results of stages and logs their exceptions, which a stage that nobody waits for would keep to
 * itself.
 */
public final class Completions {

    private Completions() {}

    /**
     * Runs an action on the result of a stage. An exception of the stage or of the action is logged.
     *
     * @param stage stage to wait for
     * @param telemetry receives the event of a failure
     * @param purpose what the action is for, such as {@code "list of hosts"}
     * @param action action on the result
     */
    public static <T> void then(
            CompletionStage<T> stage, Telemetry telemetry, String purpose, Consumer<? super T> action) {
        stage.thenAccept(action).exceptionally(failure -> {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            StackTraceElement[] trace = cause.getStackTrace();
            telemetry.event(
                    EventCode.ACTION_FAILED, purpose + ": " + cause + (trace.length == 0 ? "" : " at " + trace[0]));
            return null;
        });
    }
}
