/** Simulated workers, entry hosts and callers on virtual time, around the request brokers of the core. */
package org.basilswitch.bench.workload;
