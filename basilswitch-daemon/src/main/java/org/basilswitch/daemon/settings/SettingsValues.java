package org.basilswitch.daemon.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.net.HostAndPort;

/** Valid values by path, including defaults, and the names of records by section. */
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

    /** Returns the names of the records in a section, in the order of the files. */
    List<String> names(String section) {
        return names.getOrDefault(section, List.of());
    }

    /** Returns whether a section has a record of this name. */
    boolean hasRecord(String section, String name) {
        return names(section).contains(name);
    }

    /** Returns the location of a field or a record; for a default, the location of its section. */
    SourceLocation location(String path) {
        return locations.get(path);
    }

    /** Returns a string; empty if it is absent or invalid. */
    Optional<String> text(String path) {
        return value(path, String.class);
    }

    /** Returns a whole number; empty if it is absent or invalid. */
    Optional<Long> wholeNumber(String path) {
        return value(path, Long.class);
    }

    /** Returns a number; empty if it is absent or invalid. */
    Optional<Double> decimal(String path) {
        return value(path, Double.class);
    }

    /** Returns a Boolean; empty if it is absent or invalid. */
    Optional<Boolean> flag(String path) {
        return value(path, Boolean.class);
    }

    /** Returns an address; empty if it is absent or invalid. */
    Optional<HostAndPort> address(String path) {
        return value(path, HostAndPort.class);
    }

    /** Returns a list of addresses; empty if it is absent or invalid. */
    List<HostAndPort> addresses(String path) {
        List<?> items = value(path, List.class).orElse(List.of());
        return items.stream().map(HostAndPort.class::cast).toList();
    }

    private <T> Optional<T> value(String path, Class<T> type) {
        return Optional.ofNullable(values.get(path)).map(type::cast);
    }

    /** Returns an unmodifiable view of all values by path. */
    Map<String, Object> asMap() {
        return java.util.Collections.unmodifiableMap(values);
    }
}
