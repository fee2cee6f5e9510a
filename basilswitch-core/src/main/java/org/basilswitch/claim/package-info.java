/** Claims of idempotency keys: buckets held by one entry host each, committed to the store in groups. */
package org.basilswitch.claim;
