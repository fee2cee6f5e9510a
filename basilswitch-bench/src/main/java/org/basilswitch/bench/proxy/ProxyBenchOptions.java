package org.basilswitch.bench.proxy;

import java.time.Duration;

/**
 * Shape of the load.
 *
 * @param rounds rounds of each of the two, in turn
 * @param roundTime length of a round
 * @param connections callers' connections
 * @param bodyBytes size of a request's and of an answer's body, in bytes
 */
public record ProxyBenchOptions(int rounds, Duration roundTime, int connections, int bodyBytes) {}
