package org.basilswitch.job.review;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.basilswitch.job.JobConfiguration;

/**
 * An element that differs between two configurations.
 *
 * @param element the element, such as {@code queue route-quote}
 * @param change what changes; keys are counted and not shown
 */
public record ConfigurationDifference(String element, String change) {

    /** Returns the differences from one configuration to another, by element. */
    public static List<ConfigurationDifference> between(JobConfiguration from, JobConfiguration to) {
        List<ConfigurationDifference> differences = new ArrayList<>();
        if (to.version() <= from.version()) {
            differences.add(new ConfigurationDifference(
                    "version", "would go back from " + from.version() + " to " + to.version()));
        } else {
            addChange(differences, "version", from.version(), to.version());
        }
        addChange(differences, "largest request head, bytes", from.maxHeaderBytes(), to.maxHeaderBytes());
        addChange(differences, "largest request body, bytes", from.maxBodyBytes(), to.maxBodyBytes());
        addAll(differences, "pool", from.pools(), to.pools());
        addAll(differences, "queue", from.queues(), to.queues());
        addAll(differences, "team", from.teams(), to.teams());
        return differences;
    }

    private static void addChange(
            List<ConfigurationDifference> differences, String element, Object before, Object after) {
        if (!Objects.equals(before, after)) {
            differences.add(new ConfigurationDifference(element, before + " -> " + after));
        }
    }

    private static <T extends Record> void addAll(
            List<ConfigurationDifference> differences, String kind, Map<String, T> from, Map<String, T> to) {
        Set<String> names = new TreeSet<>(from.keySet());
        names.addAll(to.keySet());
        for (String name : names) {
            String element = kind + " " + name;
            T before = from.get(name);
            T after = to.get(name);
            if (before == null || after == null) {
                differences.add(new ConfigurationDifference(element, before == null ? "added" : "removed"));
            } else if (!before.equals(after)) {
                differences.add(new ConfigurationDifference(element, String.join(", ", changedFields(before, after))));
            }
        }
    }

    private static List<String> changedFields(Record before, Record after) {
        List<String> changes = new ArrayList<>();
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object former = value(component, before);
            Object next = value(component, after);
            if (former instanceof Set<?> formerKeys && next instanceof Set<?> nextKeys) {
                addKeyCounts(changes, component.getName(), formerKeys, nextKeys);
            } else if (!Objects.equals(former, next)) {
                changes.add(component.getName() + " " + former + " -> " + next);
            }
        }
        return changes;
    }

    private static void addKeyCounts(List<String> changes, String name, Set<?> before, Set<?> after) {
        long added = after.stream().filter(key -> !before.contains(key)).count();
        long removed = before.stream().filter(key -> !after.contains(key)).count();
        if (added + removed > 0) {
            changes.add(name + " " + added + " added, " + removed + " withdrawn");
        }
    }

    private static Object value(RecordComponent component, Record element) {
        try {
            return component.getAccessor().invoke(element);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("record component can't be read: " + component.getName(), e);
        }
    }
}
