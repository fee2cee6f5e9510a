package org.basilswitch.bench.proxy;

import java.time.Duration;

/**
 * Options of the proxy benchmark.
 *
 * @param rounds number of rounds per proxy and kind of load; rounds alternate between the proxies
 * @param roundTime duration of a round
 * @param connections number of connections of callers
 * @param bodyBytes size of the body of a request and of an answer, in bytes
 */
public record ProxyBenchOptions(int rounds, Duration roundTime, int connections, int bodyBytes) {}
