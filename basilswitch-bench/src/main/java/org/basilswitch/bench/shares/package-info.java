/** Measures how near each team comes to its share, beside baselines. */
package org.basilswitch.bench.shares;
