/** Authentication of keys, fair queueing, teams' shares, service times and retry delays. */
package org.basilswitch.admission;
