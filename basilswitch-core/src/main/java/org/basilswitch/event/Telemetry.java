package org.basilswitch.event;

/** Receives log events, counts and gauges of the core; the daemon writes them to Log4j and Micrometer. */
public interface Telemetry {

    /** Logs an event with a detail such as {@code team=depot units=3}. */
    void event(EventCode code, String detail);

    /**
     * Counts something once.
     *
     * @param counter what is counted
     * @param tag value of the counter's tag, such as a refusal's code; empty when the counter has no tag
     */
    void count(CounterCode counter, String tag);

    /** Discards everything. */
    static Telemetry none() {
        return new Telemetry() {
            @Override
            public void event(EventCode code, String detail) {}

            @Override
            public void count(CounterCode counter, String tag) {}
        };
    }
}
