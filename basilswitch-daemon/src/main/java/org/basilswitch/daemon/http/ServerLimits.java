package org.basilswitch.daemon.http;

import org.basilswitch.backpressure.ConnectionLimits;

/**
 * Limits of a server.
 *
 * @param maxBodyBytes largest body of a request
 * @param connections limits of all connections together
 */
public record ServerLimits(int maxBodyBytes, ConnectionLimits connections) {}
