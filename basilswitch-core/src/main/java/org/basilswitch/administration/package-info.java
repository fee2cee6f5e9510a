/**
 * Operators' changes of the configuration: validation, compare-and-swap, operation ids, results and audit records.
 *
 * <p>docs/design/administration.md argues why a change that was accepted is consistent with every other.
 */
package org.basilswitch.administration;
