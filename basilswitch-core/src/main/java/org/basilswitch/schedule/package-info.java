/** The scheduler of work items: one entry host at a time holds the duty, places work items and follows their runs. */
package org.basilswitch.schedule;
