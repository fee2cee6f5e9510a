/** Maintenance waves: order of hosts, halting and forecasts. */
package org.basilswitch.maintenance;
