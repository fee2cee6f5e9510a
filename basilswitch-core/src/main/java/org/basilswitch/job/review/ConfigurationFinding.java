package org.basilswitch.job.review;

/** What is odd about a configuration that can be decoded. */
public sealed interface ConfigurationFinding {
    /** Returns the element, such as {@code queue route-quote}. */
    String element();

    /** Returns what is odd and what follows from it. */
    String text();

    /** An element that no call, job or work item can ever match. */
    record Unreachable(String element, String text) implements ConfigurationFinding {}

    /** Limits that can't all be met. */
    record Contradiction(String element, String text) implements ConfigurationFinding {}
}
