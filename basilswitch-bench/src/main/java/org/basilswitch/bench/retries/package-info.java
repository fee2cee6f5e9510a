/** Measures retries, ejection and late answers while workers fail or hang. */
package org.basilswitch.bench.retries;
