/** Measures request claims on a store with a limited write rate, in comparison with one write per claim. */
package org.basilswitch.bench.claims;
