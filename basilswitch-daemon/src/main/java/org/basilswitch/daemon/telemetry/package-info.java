/** Metrics and log events of an entry host, and the documentation pages that list them. */
package org.basilswitch.daemon.telemetry;
