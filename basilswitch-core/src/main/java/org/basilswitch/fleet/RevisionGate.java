package org.basilswitch.fleet;

/** Tells whether a change is in force everywhere. */
public interface RevisionGate {

    /** Whether no entry host acts on a view older than this revision any more. */
    boolean isInForce(long revision);
}
