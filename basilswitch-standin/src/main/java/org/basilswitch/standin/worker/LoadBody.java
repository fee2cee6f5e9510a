package org.basilswitch.standin.worker;

/**
 * The request body that a load generator sends.
 *
 * @param testId the load generator's request identifier, unchanged across entry hosts and retries; empty if absent
 * @param serviceMs service time of the request, in milliseconds; 0 uses the worker's own distribution
 */
public record LoadBody(String testId, double serviceMs) {

    /** Replaces an absent identifier by an empty one. */
    public LoadBody {
        testId = testId == null ? "" : testId;
    }

    /** Returns a body without an identifier and service time. */
    public static LoadBody none() {
        return new LoadBody("", 0);
    }
}
