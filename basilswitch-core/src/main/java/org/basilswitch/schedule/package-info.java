/**
 * Job scheduler: one entry host at a time is the leader, places work items on backend servers and supervises their
 * runs.
 */
package org.basilswitch.schedule;
