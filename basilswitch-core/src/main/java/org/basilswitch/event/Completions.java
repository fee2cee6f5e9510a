package org.basilswitch.event;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

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
        thenAcceptOrLog(() -> stage, telemetry, purpose, action, () -> {});
    }

    /**
     * Makes a call and runs an action on its result; logs an exception thrown by the call, its stage or the action, and
     * then runs a second action, by which a periodic caller goes on.
     *
     * @param call makes the call
     * @param telemetry receives the {@link EventCode#ACTION_FAILED} event of an exception
     * @param purpose short description for the log of what is awaited
     * @param action receives the result
     * @param onFailure runs after an exception was logged
     */
    public static <T> void thenAcceptOrLog(
            Supplier<CompletionStage<T>> call,
            Telemetry telemetry,
            String purpose,
            Consumer<? super T> action,
            Runnable onFailure) {
        CompletionStage<T> stage;
        try {
            stage = call.get();
        } catch (RuntimeException e) {
            log(e, telemetry, purpose);
            onFailure.run();
            return;
        }
        stage.thenAccept(action).exceptionally(failure -> {
            log(failure.getCause() == null ? failure : failure.getCause(), telemetry, purpose);
            onFailure.run();
            return null;
        });
    }

    private static void log(Throwable cause, Telemetry telemetry, String purpose) {
        StackTraceElement[] trace = cause.getStackTrace();
        telemetry.event(EventCode.ACTION_FAILED, purpose + ": " + cause + (trace.length == 0 ? "" : " at " + trace[0]));
    }
}
