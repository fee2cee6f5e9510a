package org.basilswitch.schedule;

import org.basilswitch.job.JobConfiguration;

/**
 * A job configuration with its revision and age.
 *
 * @param configuration job configuration
 * @param revision store revision of the configuration record
 * @param confirmedNanos monotonic time before the read that last confirmed this as the newest configuration, ns
 */
public record JobConfigurationSnapshot(JobConfiguration configuration, long revision, long confirmedNanos) {}
