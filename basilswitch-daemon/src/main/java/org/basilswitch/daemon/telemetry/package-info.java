/** Metrics and log events of an entry host's process. */
package org.basilswitch.daemon.telemetry;
