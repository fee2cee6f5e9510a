/**
 * The randomised fault run: the core's own classes for 3 to 9 entry hosts on virtual time, with small fakes of store
 * access, links, workers, callers and operators, and the product's promises asserted at each step.
 */
package org.basilswitch.bench.faults;
