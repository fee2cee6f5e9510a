package org.basilswitch.dispatch;

/** Makes room for urgent requests at the expense of background work: by checkpoint, throttle or stop. */
public interface BackgroundPreemptor {

    /**
     * Tells that urgent requests wait although the slots kept free for them are taken; told again until they start.
     *
     * @param pool the pool
     * @param requests urgent requests waiting at this host
     */
    void preempt(String pool, int requests);

    /** Does nothing, for sites whose workers offer no way to make room. */
    static BackgroundPreemptor none() {
        return (pool, requests) -> {};
    }
}
