package org.basilswitch.standin.worker;

/**
 * A worker's answer to a request.
 *
 * @param testId the load generator's identifier, repeated
 * @param requestId identifier of the request
 * @param attempt number of the attempt
 * @param worker the worker that ran it
 */
public record LoadResponse(String testId, String requestId, int attempt, String worker) {}
