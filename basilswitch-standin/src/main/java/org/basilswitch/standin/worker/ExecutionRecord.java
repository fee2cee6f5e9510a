package org.basilswitch.standin.worker;

/**
 * One execution of a request's attempt, as a worker recorded it.
 *
 * @param requestId identifier given by the entry host
 * @param attempt number of the attempt, from 1
 * @param team team that it ran for
 * @param queue queue that it came through
 * @param testId identifier that the load generator put into the body; empty when there was none
 * @param worker name of the worker
 * @param startedMicros wall clock when it started, in microseconds since 1970
 * @param endedMicros wall clock when it ended, in microseconds since 1970; 0 while it runs
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

    /** Returns this run with its end. */
    ExecutionRecord withEnd(long micros) {
        return new ExecutionRecord(
                requestId, attempt, team, queue, testId, worker, startedMicros, Math.max(micros, startedMicros));
    }
}
