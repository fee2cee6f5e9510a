/** A simulated fleet of backend servers that run work items, and the invariants that a scheduler has to keep. */
package org.basilswitch.standin.jobs;
