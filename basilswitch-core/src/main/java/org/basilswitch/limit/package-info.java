/** Upper limits of teams across the fleet, divided into allotments of the entry hosts. */
package org.basilswitch.limit;
