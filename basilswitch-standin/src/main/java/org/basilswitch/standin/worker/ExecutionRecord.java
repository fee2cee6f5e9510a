package org.basilswitch.standin.worker;

/**
 * One execution of an attempt of a request, as a worker recorded it.
 *
 * @param requestId request identifier assigned by the entry host
 * @param attempt attempt number, starting at 1
 * @param team team that the request belongs to
 * @param queue queue that the request was sent to
 * @param testId identifier that the load generator put into the body; empty if there was none
 * @param worker name of the worker
 * @param startedMicros wall-clock start time, in microseconds since the Unix epoch
 * @param endedMicros wall-clock end time, in microseconds since the Unix epoch; 0 while the execution is running
 */
public record ExecutionRecord(
        String requestId,
        int attempt,
        String team,
        String queue,
        String testId,
        String worker,
        long startedMicros,
        long endedMicros) {

    /** Returns this execution with an end time, which is never before its start. */
    ExecutionRecord withEnd(long micros) {
        return new ExecutionRecord(
                requestId, attempt, team, queue, testId, worker, startedMicros, Math.max(micros, startedMicros));
    }
}
