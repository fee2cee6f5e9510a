/** Open-loop load generator for several teams and entry hosts that records and audits the outcome of every request. */
package org.basilswitch.bench.load;
