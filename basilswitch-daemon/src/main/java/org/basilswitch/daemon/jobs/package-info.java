/** Messages between entry hosts about jobs. */
package org.basilswitch.daemon.jobs;
