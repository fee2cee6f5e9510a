package org.basilswitch.dispatch;

/** Frees capacity for urgent requests by checkpointing, throttling or stopping background work. */
public interface BackgroundPreemptor {

    /**
     * Reports that urgent requests are waiting because the slots reserved for them are in use. Called again until they
     * start.
     *
     * @param pool the pool
     * @param requests number of urgent requests waiting at this entry host
     */
    void preempt(String pool, int requests);

    /** Returns a preemptor that does nothing, for sites whose workers cannot free capacity. */
    static BackgroundPreemptor none() {
        return (pool, requests) -> {};
    }
}
