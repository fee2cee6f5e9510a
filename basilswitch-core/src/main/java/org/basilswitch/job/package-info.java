/** Jobs with their steps and work items, and the configuration of the queues, teams and pools they refer to. */
package org.basilswitch.job;
