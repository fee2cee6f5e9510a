/** Measures retries, ejection and refusals while workers fail. */
package org.basilswitch.bench.retries;
