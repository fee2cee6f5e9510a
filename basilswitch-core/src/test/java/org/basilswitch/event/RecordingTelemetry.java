package org.basilswitch.event;

import java.util.List;

/** Records events as their name and detail, and discards counts. */
public final class RecordingTelemetry implements Telemetry {
    private final List<String> events;

    private RecordingTelemetry(List<String> events) {
        this.events = events;
    }

    /** Returns an instance that adds events to a list. */
    public static RecordingTelemetry to(List<String> events) {
        return new RecordingTelemetry(events);
    }

    @Override
    public void event(EventCode code, String detail) {
        events.add(code + " " + detail);
    }

    @Override
    public void count(CounterCode counter, String tag) {}
}
