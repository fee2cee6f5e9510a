/** Acceptance, cancellation and state queries of jobs, served by every entry host. */
package org.basilswitch.intake;
