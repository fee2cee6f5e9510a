/**
 * Simulates the fleet controllers on virtual time: waves, moves and host lending, under faults and with checked
 * invariants.
 */
package org.basilswitch.bench.fleet;
