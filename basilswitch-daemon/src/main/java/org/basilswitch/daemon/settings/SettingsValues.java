package org.basilswitch.daemon.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.net.HostAndPort;

/** The valid values of settings by path, defaults filled in, and the names of records by section. */
final class SettingsValues {
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final Map<String, SourceLocation> locations = new LinkedHashMap<>();
    private final Map<String, List<String>> names = new LinkedHashMap<>();

    void put(String path, Object value, SourceLocation location) {
        values.put(path, value);
        locations.put(path, location);
    }

    void addName(String section, String name, SourceLocation location) {
        names.computeIfAbsent(section, key -> new ArrayList<>()).add(name);
        locations.put(section + "." + name, location);
    }

    /** Names of the records in a section. */
    List<String> names(String section) {
        return names.getOrDefault(section, List.of());
    }

    /** Whether a section has a record of this name. */
    boolean hasRecord(String section, String name) {
        return names(section).contains(name);
    }

    /** Where a field or a record stands; the first line of its section when it is a default. */
    SourceLocation location(String path) {
        return locations.get(path);
    }

    /** A text; empty when it is absent or invalid. */
    Optional<String> text(String path) {
        return value(path, String.class);
    }

    /** A whole number; empty when it is absent or invalid. */
    Optional<Long> wholeNumber(String path) {
        return value(path, Long.class);
    }

    /** A number; empty when it is absent or invalid. */
    Optional<Double> decimal(String path) {
        return value(path, Double.class);
    }

    /** A truth value; empty when it is absent or invalid. */
    Optional<Boolean> flag(String path) {
        return value(path, Boolean.class);
    }

    /** An address; empty when it is absent or invalid. */
    Optional<HostAndPort> address(String path) {
        return value(path, HostAndPort.class);
    }

    /** Addresses; empty when they are absent or invalid. */
    List<HostAndPort> addresses(String path) {
        List<?> items = value(path, List.class).orElse(List.of());
        return items.stream().map(HostAndPort.class::cast).toList();
    }

    private <T> Optional<T> value(String path, Class<T> type) {
        return Optional.ofNullable(values.get(path)).map(type::cast);
    }

    /** All values by path. */
    Map<String, Object> asMap() {
        return java.util.Collections.unmodifiableMap(values);
    }
}
