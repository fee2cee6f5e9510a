/** The teams' upper limits on running requests across the fleet, divided into allotments of the entry hosts. */
package org.basilswitch.limit;
