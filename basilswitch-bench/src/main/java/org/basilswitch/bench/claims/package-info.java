/** Throughput and latency of request claims against a store of limited write rate, beside one write for each claim. */
package org.basilswitch.bench.claims;
