/**
 * Operators' changes of the configuration: validation, compare-and-swap, operation ids, results and audit records.
 *
 * <p>docs/design/administration.md explains why an accepted change is consistent with all other accepted changes.
 */
package org.basilswitch.administration;
