/** Acceptance and cancellation of jobs at any entry host, and what every entry host knows of the jobs. */
package org.basilswitch.intake;
