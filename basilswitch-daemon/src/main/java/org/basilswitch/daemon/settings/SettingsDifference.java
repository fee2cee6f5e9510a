package org.basilswitch.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A field that differs between two sets of values.
 *
 * @param path path of the field, such as {@code teams.depot.limitTasks}
 * @param before value in the first set; empty if it is absent there
 * @param after value in the second set; empty if it is absent there
 */
public record SettingsDifference(String path, Optional<String> before, Optional<String> after) {

    /** Returns the differences between two maps from path to value, sorted by path. */
    public static List<SettingsDifference> between(Map<String, ?> first, Map<String, ?> second) {
        TreeSet<String> paths = new TreeSet<>(first.keySet());
        paths.addAll(second.keySet());
        List<SettingsDifference> differences = new ArrayList<>();
        for (String path : paths) {
            Optional<String> before = Optional.ofNullable(first.get(path)).map(String::valueOf);
            Optional<String> after = Optional.ofNullable(second.get(path)).map(String::valueOf);
            if (!before.equals(after)) {
                differences.add(new SettingsDifference(path, before, after));
            }
        }
        return differences;
    }

    /** Formats the difference as a line that starts with {@code +} (added), {@code -} (removed) or {@code ~} (changed). */
    public String text() {
        if (before.isEmpty()) {
            return "+ " + path + ": " + after.orElse("");
        }
        if (after.isEmpty()) {
            return "- " + path + ": " + before.get();
        }
        return "~ " + path + ": " + before.get() + " -> " + after.get();
    }
}
