package org.basilswitch.event;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Runs actions on the results of asynchronous stages and logs their exceptions, which would be lost when no other code
 * awaits the stage.
 */
public final class Completions {

    private Completions() {}

    /**
     * Runs an action on the result of a stage; logs an exception thrown by the stage or by the action.
     *
     * @param stage stage to wait for
     * @param telemetry receives the {@link EventCode#ACTION_FAILED} event of an exception
     * @param purpose short description for the log of what is awaited, such as {@code "list of hosts"}
     * @param action receives the result
     */
    public static <T> void thenAcceptOrLog(
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
