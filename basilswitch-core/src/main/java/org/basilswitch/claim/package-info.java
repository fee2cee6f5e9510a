/** Claims of idempotency keys, in buckets that one entry host each serves and commits to the store in groups. */
package org.basilswitch.claim;
