package org.basilswitch.daemon.settings;

import java.util.Optional;

/**
 * A field of the settings.
 *
 * @param path path from the root; {@code *} stands for the name of a record, such as {@code pools.*.spare}
 * @param type type and range
 * @param unit unit; the name of the field ends in its suffix
 * @param defaultValue the value if no file sets the field, of the type that {@link FieldType#read} returns
 * @param required whether a file must set it
 * @param meaning one-line description for the settings page
 */
record SettingsField(
        String path, FieldType type, Unit unit, Optional<Object> defaultValue, boolean required, String meaning) {

    /** Creates a field that a file must set. */
    static SettingsField required(String path, FieldType type, Unit unit, String meaning) {
        return new SettingsField(path, type, unit, Optional.empty(), true, meaning);
    }

    /** Creates a field without a default that may be absent. */
    static SettingsField optional(String path, FieldType type, Unit unit, String meaning) {
        return new SettingsField(path, type, unit, Optional.empty(), false, meaning);
    }

    /** Creates a field with a default. */
    static SettingsField withDefault(String path, FieldType type, Unit unit, Object defaultValue, String meaning) {
        return new SettingsField(path, type, unit, Optional.of(defaultValue), false, meaning);
    }

    /** Creates a whole-number field with a default. */
    static SettingsField wholeNumber(String path, long min, long max, long defaultValue, Unit unit, String meaning) {
        return withDefault(path, new FieldType.WholeNumber(min, max), unit, defaultValue, meaning);
    }

    /** Returns the path of the enclosing section; empty for the root. */
    String section() {
        int dot = path.lastIndexOf('.');
        return dot < 0 ? "" : path.substring(0, dot);
    }

    /** Returns the last segment of the path. */
    String name() {
        return path.substring(path.lastIndexOf('.') + 1);
    }
}
