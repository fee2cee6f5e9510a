package org.basilswitch.fleet;

/** Demand of the pools, observed across the fleet. */
public interface PoolDemand {

    /** Slots that a pool's requests use or wait for now; empty when this host does not know yet. */
    java.util.OptionalInt slots(String pool);
}
