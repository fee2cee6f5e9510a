/** Maintenance waves: selection of the next hosts, halt policy and forecasts. */
package org.basilswitch.maintenance;
