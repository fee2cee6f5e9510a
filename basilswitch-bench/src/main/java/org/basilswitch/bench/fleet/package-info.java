/** Runs of the fleet's controllers on virtual time: waves, moves and the buffer, with faults and checked invariants. */
package org.basilswitch.bench.fleet;
