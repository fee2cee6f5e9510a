/** Jobs, their steps and work items, and the queues, teams and pools that they refer to. */
package org.basilswitch.job;
