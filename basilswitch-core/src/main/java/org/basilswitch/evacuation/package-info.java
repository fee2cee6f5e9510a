/** Availability zones that take no new work at the operator's request. */
package org.basilswitch.evacuation;
