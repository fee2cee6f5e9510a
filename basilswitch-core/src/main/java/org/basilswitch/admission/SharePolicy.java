package org.basilswitch.admission;

/** Orders the waiting requests of different teams. */
public sealed interface SharePolicy {

    /** Orders by arrival, regardless of the team; the baseline for comparisons. */
    record Fifo() implements SharePolicy {}

    /** Orders by the weighted virtual time of the teams. */
    record Weighted() implements SharePolicy {}
}
