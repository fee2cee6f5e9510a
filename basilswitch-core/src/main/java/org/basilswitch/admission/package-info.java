/** Keys, queues, shares, fair queueing, deadlines, overload and refusals. */
package org.basilswitch.admission;
