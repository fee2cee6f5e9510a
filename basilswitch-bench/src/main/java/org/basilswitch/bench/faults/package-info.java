/**
 * Randomised fault injection: runs the core's classes for 3 to 9 entry hosts on virtual time, with simulated store
 * access, links, workers, callers and operators, and checks the service guarantees throughout the run.
 */
package org.basilswitch.bench.faults;
