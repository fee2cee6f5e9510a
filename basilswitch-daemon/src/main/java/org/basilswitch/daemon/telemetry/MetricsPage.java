package org.basilswitch.daemon.telemetry;

import org.basilswitch.event.CounterCode;

/** Renders docs/METRICS.md from the lists of meters. */
public final class MetricsPage {
    private MetricsPage() {}

    /** The page's text. */
    public static String render() {
        StringBuilder page = new StringBuilder();
        page.append("# Metrics\n\n");
        page.append(
                "`GET /metrics` on the administration port gives these in the Prometheus text format. Histograms\n");
        page.append("have the samples `_bucket`, `_count`, `_sum` and `_max`. This page is written by\n");
        page.append("`./basilswitch catalogue metrics`; a test compares it with the code.\n\n");
        page.append("## Daemon\n\n| metric | kind | tags | meaning |\n| --- | --- | --- | --- |\n");
        for (DaemonMeter meter : DaemonMeter.values()) {
            page.append(row(
                    meter.prometheusName(),
                    meter.kind().text(),
                    String.join(", ", meter.tagNames()),
                    meter.description()));
        }
        page.append("\n## Decisions\n\nCounters of the core, one for each refusal and retry reason.\n\n");
        page.append("| metric | tag | counts |\n| --- | --- | --- |\n");
        for (CounterCode code : CounterCode.values()) {
            page.append("| `").append(prometheusName(code)).append("` | ");
            page.append(code.tagName()).append(" | ").append(meaning(code)).append(" |\n");
        }
        return page.toString();
    }

    private static String row(String name, String kind, String tags, String meaning) {
        return "| `" + name + "` | " + kind + " | " + tags + " | " + meaning + " |\n";
    }

    /** Name of a core counter on the Prometheus page. */
    public static String prometheusName(CounterCode code) {
        return code.metric().replace('.', '_') + "_total";
    }

    private static String meaning(CounterCode code) {
        String words = code.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
        return code.tagName().isEmpty() ? words : words + " by " + code.tagName();
    }
}
