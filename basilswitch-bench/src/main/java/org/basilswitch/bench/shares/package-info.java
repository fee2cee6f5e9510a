/** Measures how closely each team's usage matches its share, in comparison with baselines. */
package org.basilswitch.bench.shares;
