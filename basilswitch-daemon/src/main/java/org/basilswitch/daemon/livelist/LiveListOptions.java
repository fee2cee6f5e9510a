package org.basilswitch.daemon.livelist;

import java.time.Duration;

import io.vertx.core.net.HostAndPort;

/**
 * Where the platform's list of hosts is read.
 *
 * @param address IP address and port
 * @param pollInterval time between two readings
 */
public record LiveListOptions(HostAndPort address, Duration pollInterval) {}
