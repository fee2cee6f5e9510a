package org.basilswitch.event;

/** Receives log events and counts of the core; the daemon passes them on to Log4j and Micrometer. */
public interface Telemetry {

    /** Logs an event with a detail of key-value pairs, such as {@code team=depot units=3}. */
    void event(EventCode code, String detail);

    /**
     * Increments a counter by one.
     *
     * @param counter counter to increment
     * @param tag value of the counter's tag, such as a refusal's code; empty when the counter has no tag
     */
    void count(CounterCode counter, String tag);

    /** Returns an instance that discards everything. */
    static Telemetry none() {
        return new Telemetry() {
            @Override
            public void event(EventCode code, String detail) {}

            @Override
            public void count(CounterCode counter, String tag) {}
        };
    }
}
