/** Measures strategies of placement beside baselines. */
package org.basilswitch.bench.placement;
