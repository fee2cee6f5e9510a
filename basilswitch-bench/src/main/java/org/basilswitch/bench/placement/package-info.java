/** Measures placement policies in comparison with baselines. */
package org.basilswitch.bench.placement;
