package org.basilswitch.daemon.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Holds merged settings against the schema, field by field. */
final class FieldChecker {
    private static final FieldType NAME = FieldType.Text.name();

    private final List<SettingsProblem> problems;
    private final SettingsValues values = new SettingsValues();

    private FieldChecker(List<SettingsProblem> problems) {
        this.problems = problems;
    }

    /** Collects the valid values and reports everything else. */
    static SettingsValues check(SettingsNode.Section root, List<SettingsProblem> problems) {
        FieldChecker checker = new FieldChecker(problems);
        checker.section("", "", root);
        return checker.values;
    }

    private static String join(String section, String name) {
        return section.isEmpty() ? name : section + "." + name;
    }

    /** Checks an object; {@code pattern} is its path in the schema and {@code path} its path in the settings. */
    private void section(String pattern, String path, SettingsNode.Section section) {
        section.entries().forEach((name, node) -> entry(pattern, path, name, node));
        for (SettingsField field : SettingsSchema.fieldsOf(pattern)) {
            if (!section.entries().containsKey(field.name())) {
                absent(field, join(path, field.name()), section.location());
            }
        }
        for (String child : SettingsSchema.sectionsOf(pattern)) {
            String name = child.substring(child.lastIndexOf('.') + 1);
            if (!section.entries().containsKey(name) && !SettingsSchema.holdsRecords(child)) {
                section(child, join(path, name), new SettingsNode.Section(section.location(), Map.of()));
            }
        }
    }

    private void entry(String pattern, String path, String name, SettingsNode node) {
        String childPattern = join(pattern, name);
        String childPath = join(path, name);
        Optional<SettingsField> field = SettingsSchema.field(childPattern);
        if (field.isPresent()) {
            value(field.get(), childPath, node);
        } else if (!SettingsSchema.isSection(childPattern) || name.equals("*")) {
            problems.add(new SettingsProblem.Unknown(node.location(), childPath, known(pattern)));
        } else if (!(node instanceof SettingsNode.Section section)) {
            problems.add(new SettingsProblem.WrongType(node.location(), childPath, describe(node), "an object"));
        } else if (SettingsSchema.holdsRecords(childPattern)) {
            section.entries().forEach((record, child) -> record(childPattern, childPath, record, child));
        } else {
            section(childPattern, childPath, section);
        }
    }

    private static String known(String pattern) {
        Stream<String> fields = SettingsSchema.fieldsOf(pattern).stream().map(SettingsField::name);
        Stream<String> sections =
                SettingsSchema.sectionsOf(pattern).stream().map(path -> path.substring(path.lastIndexOf('.') + 1));
        return Stream.concat(fields, sections).collect(Collectors.joining(", "));
    }

    private void record(String pattern, String path, String name, SettingsNode node) {
        String recordPath = join(path, name);
        if (NAME.read(new SettingsNode.Scalar(node.location(), name)).isEmpty()) {
            problems.add(new SettingsProblem.OutOfRange(node.location(), recordPath, "the name", NAME.text()));
        } else if (node instanceof SettingsNode.Section section) {
            values.addName(path, name, node.location());
            section(pattern + ".*", recordPath, section);
        } else {
            problems.add(new SettingsProblem.WrongType(node.location(), recordPath, describe(node), "an object"));
        }
    }

    private void value(SettingsField field, String path, SettingsNode node) {
        if (node instanceof SettingsNode.Absent) {
            absent(field, path, node.location());
            return;
        }
        field.type()
                .read(node)
                .ifPresentOrElse(value -> values.put(path, value, node.location()), () -> invalid(field, path, node));
    }

    private void invalid(SettingsField field, String path, SettingsNode node) {
        String expected = field.type().text();
        problems.add(
                field.type().accepts(node)
                        ? new SettingsProblem.OutOfRange(node.location(), path, describe(node), expected)
                        : new SettingsProblem.WrongType(node.location(), path, describe(node), expected));
    }

    private void absent(SettingsField field, String path, SourceLocation location) {
        if (field.required()) {
            problems.add(
                    new SettingsProblem.Missing(location, path, field.type().text()));
        }
        field.defaultValue().ifPresent(value -> values.put(path, value, location));
    }

    private static String describe(SettingsNode node) {
        return switch (node) {
            case SettingsNode.Section section -> "an object";
            case SettingsNode.Items items -> "a list";
            case SettingsNode.Absent absent -> "null";
            case SettingsNode.Scalar scalar when scalar.value() instanceof String text -> "\"" + text + "\"";
            case SettingsNode.Scalar scalar -> String.valueOf(scalar.value());
        };
    }
}
