/** Exhaustive model check of the promise protocol within bounds; docs/design/membership.md describes its coverage. */
package org.basilswitch.bench.model;
