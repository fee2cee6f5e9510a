/** Small virtual workers, entry hosts and callers on a virtual clock, around the real brokers of the core. */
package org.basilswitch.bench.workload;
