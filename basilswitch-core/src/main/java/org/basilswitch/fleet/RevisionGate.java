package org.basilswitch.fleet;

/** Determines whether a configuration change is in force at all entry hosts. */
public interface RevisionGate {

    /** Returns whether no entry host still acts on a configuration older than this revision. */
    boolean isInForce(long revision);
}
