package org.basilswitch.daemon.telemetry;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import org.basilswitch.event.EventCode;

/** Renders docs/LOG-EVENTS.md from the list of events. */
public final class EventsPage {
    private static final int NUMBERS_PER_HEADING = 100;

    private EventsPage() {}

    /** The page's text. */
    public static String render() {
        StringBuilder page = new StringBuilder();
        page.append("# Log events\n\n");
        page.append(
                "Log lines go to standard error, as JSON objects with the fields time, level, event (the number),\n");
        page.append(
                "name, node, text and detail, or as plain lines with `--log-format text`. An event that comes more\n");
        page.append(
                "than 60 times a second is cut off, which event 2408 and a counter tell. This page is written by\n");
        page.append("`./basilswitch catalogue events`; a test compares it with the code.\n");
        int group = 0;
        for (EventCode code : sorted()) {
            if (code.number() / NUMBERS_PER_HEADING != group) {
                group = code.number() / NUMBERS_PER_HEADING;
                page.append("\n## ").append(heading(group)).append("\n\n");
                page.append("| number | level | name | text |\n| --- | --- | --- | --- |\n");
            }
            page.append("| ").append(code.number()).append(" | ").append(code.severity());
            page.append(" | ")
                    .append(code.name())
                    .append(" | ")
                    .append(code.text())
                    .append(" |\n");
        }
        return page.toString();
    }

    private static List<EventCode> sorted() {
        return Arrays.stream(EventCode.values())
                .sorted(Comparator.comparingInt(EventCode::number))
                .toList();
    }

    private static String heading(int group) {
        return switch (group) {
            case 10 -> "Configuration";
            case 11 -> "Membership";
            case 12 -> "Limits";
            case 13 -> "Claims";
            case 14 -> "Dispatch and admission";
            case 15 -> "Placement";
            case 16 -> "Fleet";
            case 17 -> "Maintenance";
            case 18 -> "Store";
            case 20 -> "Callers";
            case 21 -> "Administration";
            case 22 -> "Peers";
            case 23 -> "TLS";
            case 24 -> "Life cycle";
            default -> "From " + group * NUMBERS_PER_HEADING;
        };
    }
}
