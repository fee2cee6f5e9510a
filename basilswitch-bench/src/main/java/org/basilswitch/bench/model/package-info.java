/** An exhaustive check of the promise protocol over bounded states; docs/design/membership.md says what it covers. */
package org.basilswitch.bench.model;
