package org.basilswitch.standin.worker;

/**
 * A worker's response to a request.
 *
 * @param testId the load generator's identifier, echoed from the request body
 * @param requestId request identifier
 * @param attempt attempt number
 * @param worker name of the worker that ran the request
 */
public record LoadResponse(String testId, String requestId, int attempt, String worker) {}
