package org.basilswitch.standin.worker;

/**
 * The body that a load generator sends.
 *
 * @param testId the load generator's identifier of the request, kept through every entry host and retry
 * @param serviceMs time that the request takes, in milliseconds; 0 leaves it to the worker
 */
public record LoadBody(String testId, double serviceMs) {

    /** Replaces an absent identifier. */
    public LoadBody {
        testId = testId == null ? "" : testId;
    }

    /** A body without an identifier. */
    public static LoadBody none() {
        return new LoadBody("", 0);
    }
}
