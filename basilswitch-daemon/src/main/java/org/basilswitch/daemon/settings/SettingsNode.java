package org.basilswitch.daemon.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A parsed value of a settings file with its location. */
sealed interface SettingsNode {

    /** Returns the location of the value in its file. */
    SourceLocation location();

    /** An object: fields or named records, in the order of the file. */
    record Section(SourceLocation location, Map<String, SettingsNode> entries) implements SettingsNode {
        /** Copies the map, which keeps its order. */
        public Section {
            entries = new LinkedHashMap<>(entries);
        }

        /** Returns this section with an overlay merged in: objects merge by field, {@code null} removes, other values replace. */
        Section mergedWith(Section overlay) {
            Map<String, SettingsNode> merged = new LinkedHashMap<>(entries);
            overlay.entries.forEach((name, node) -> {
                if (node instanceof Null) {
                    merged.remove(name);
                } else if (node instanceof Section overlayValue && merged.get(name) instanceof Section baseValue) {
                    merged.put(name, baseValue.mergedWith(overlayValue));
                } else {
                    merged.put(name, node);
                }
            });
            return new Section(overlay.location, merged);
        }
    }

    /** An array. */
    record Array(SourceLocation location, List<SettingsNode> nodes) implements SettingsNode {}

    /** A string, number or Boolean, as {@link String}, {@link Long}, {@link Double} or {@link Boolean}. */
    record Scalar(SourceLocation location, Object value) implements SettingsNode {}

    /** The value {@code null}. */
    record Null(SourceLocation location) implements SettingsNode {}
}
