package org.basilswitch.fleet;

/** The current demand of the pools across the fleet. */
public interface PoolDemand {

    /** Returns the number of slots that a pool's requests use or wait for now; empty while it is unknown. */
    java.util.OptionalInt slots(String pool);
}
