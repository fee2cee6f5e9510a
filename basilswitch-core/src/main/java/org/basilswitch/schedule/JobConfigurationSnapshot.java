package org.basilswitch.schedule;

import org.basilswitch.job.JobConfiguration;

/**
 * A configuration with its age.
 *
 * @param site configuration
 * @param revision revision of its record in the store
 * @param confirmedNanos monotonic time before the read that last showed it to be the newest, ns
 */
public record JobConfigurationSnapshot(JobConfiguration configuration, long revision, long confirmedNanos) {}
