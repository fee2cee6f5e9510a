package org.basilswitch.daemon.settings;

import java.util.stream.Collectors;

import io.vertx.core.net.HostAndPort;

/** Renders docs/SETTINGS.md from the schema. */
public final class SettingsPage {
    private static final String HEADER = """
            # Settings

            Settings are JSON with comments: one base file and overlays, each of which states only what differs.
            Objects are merged field by field, `null` removes what an earlier file states, all else replaces it. In
            paths, `*` stands for the name of a record. Names end in the unit of their field.

            `basilswitch check --settings sites/base.json --overlay sites/fraser-fathom.json` names every fault at once,
            each with file, line, field and remedy. This page is written by `basilswitch check --fields`, and a test holds
            it against the code.

            Zones, racks, pools, hosts, queues, teams and keys are the site's records before the first change:
            `basilswitch apply` writes them to the store, and from then on the administration interface changes them.

            | field | values | unit | default | meaning |
            | --- | --- | --- | --- | --- |
            """;

    private SettingsPage() {}

    /** The whole page in Markdown. */
    public static String render() {
        return HEADER + SettingsSchema.fields().stream().map(SettingsPage::row).collect(Collectors.joining());
    }

    private static String row(SettingsField field) {
        String absent = field.required() ? "required" : "none";
        String defaultValue = field.defaultValue().map(SettingsPage::inlineCode).orElse(absent);
        return "| `" + field.path() + "` | " + field.type().text() + " | "
                + field.unit().text() + " | " + defaultValue + " | " + field.meaning() + " |\n";
    }

    private static String inlineCode(Object value) {
        return value instanceof HostAndPort || value instanceof String ? "`\"" + value + "\"`" : "`" + value + "`";
    }
}
