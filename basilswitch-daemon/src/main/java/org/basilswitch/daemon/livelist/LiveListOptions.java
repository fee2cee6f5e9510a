package org.basilswitch.daemon.livelist;

import java.time.Duration;

import io.vertx.core.net.HostAndPort;

/**
 * Options of the live-host reader.
 *
 * @param address IP address and port of the platform's live-host list
 * @param pollInterval time between two reads
 */
public record LiveListOptions(HostAndPort address, Duration pollInterval) {}
