package org.basilswitch.intake;

/**
 * The leader's answer to a call that another entry host has forwarded.
 *
 * @param answer answer to the caller
 * @param configurationRevision revision of the newest configuration that the leader may have decided by; 0 before it has
 *     read one
 */
public record ForwardedAnswer(JobAnswer answer, long configurationRevision) {}
