package org.basilswitch.daemon.settings;

import java.util.Optional;

/**
 * One field of the settings.
 *
 * @param path path from the root; {@code *} stands for the name of a record, such as {@code pools.*.spare}
 * @param type type and range
 * @param unit unit, which the name carries as suffix
 * @param defaultValue the value when no file states one, as {@link FieldType#read} gives it
 * @param required whether a file has to state it
 * @param meaning one line for the settings page
 */
record SettingsField(
        String path, FieldType type, Unit unit, Optional<Object> defaultValue, boolean required, String meaning) {

    /** A field that a file has to state. */
    static SettingsField required(String path, FieldType type, Unit unit, String meaning) {
        return new SettingsField(path, type, unit, Optional.empty(), true, meaning);
    }

    /** A field that may be left out. */
    static SettingsField optional(String path, FieldType type, Unit unit, String meaning) {
        return new SettingsField(path, type, unit, Optional.empty(), false, meaning);
    }

    /** A field with a default. */
    static SettingsField withDefault(String path, FieldType type, Unit unit, Object defaultValue, String meaning) {
        return new SettingsField(path, type, unit, Optional.of(defaultValue), false, meaning);
    }

    /** A whole number with a default. */
    static SettingsField wholeNumber(String path, long min, long max, long defaultValue, Unit unit, String meaning) {
        return withDefault(path, new FieldType.WholeNumber(min, max), unit, defaultValue, meaning);
    }

    /** The path of the section that holds the field; empty for the root. */
    String section() {
        int dot = path.lastIndexOf('.');
        return dot < 0 ? "" : path.substring(0, dot);
    }

    /** The field's own name. */
    String name() {
        return path.substring(path.lastIndexOf('.') + 1);
    }
}
