/** Measures the control cost of an entry host at several site sizes on the core's classes, for docs/CAPACITY.md. */
package org.basilswitch.bench.slopes;
