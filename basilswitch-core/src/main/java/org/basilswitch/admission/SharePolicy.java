package org.basilswitch.admission;

/** How waiting requests of different teams are ordered. */
public sealed interface SharePolicy {

    /** By arrival, whatever the team: the baseline. */
    record Fifo() implements SharePolicy {}

    /** By weighted virtual time of the teams. */
    record Weighted() implements SharePolicy {}
}
