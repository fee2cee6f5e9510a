package org.basilswitch.daemon.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Checks merged settings against the schema, field by field, and fills in defaults. */
final class FieldChecker {
    private static final FieldType NAME = FieldType.Text.recordName();

    private final List<SettingsProblem> problems;
    private final SettingsValues values = new SettingsValues();

    private FieldChecker(List<SettingsProblem> problems) {
        this.problems = problems;
    }

    /** Returns the valid values with defaults filled in, and adds a problem for everything else. */
    static SettingsValues check(SettingsNode.Section root, List<SettingsProblem> problems) {
        FieldChecker checker = new FieldChecker(problems);
        checker.checkSection("", "", root);
        return checker.values;
    }

    private static String join(String section, String name) {
        return section.isEmpty() ? name : section + "." + name;
    }

    /** Checks an object; {@code pattern} is its path in the schema and {@code path} its path in the settings. */
    private void checkSection(String pattern, String path, SettingsNode.Section section) {
        section.entries().forEach((name, node) -> checkEntry(pattern, path, name, node));
        for (SettingsField field : SettingsSchema.fieldsOf(pattern)) {
            if (!section.entries().containsKey(field.name())) {
                applyDefault(field, join(path, field.name()), section.location());
            }
        }
        for (String child : SettingsSchema.sectionsOf(pattern)) {
            String name = child.substring(child.lastIndexOf('.') + 1);
            if (!section.entries().containsKey(name) && !SettingsSchema.isRecordSection(child)) {
                checkSection(child, join(path, name), new SettingsNode.Section(section.location(), Map.of()));
            }
        }
    }

    private void checkEntry(String pattern, String path, String name, SettingsNode node) {
        String childPattern = join(pattern, name);
        String childPath = join(path, name);
        Optional<SettingsField> field = SettingsSchema.field(childPattern);
        if (field.isPresent()) {
            checkValue(field.get(), childPath, node);
        } else if (!SettingsSchema.isSection(childPattern) || name.equals("*")) {
            problems.add(new SettingsProblem.Unknown(node.location(), childPath, knownNames(pattern)));
        } else if (!(node instanceof SettingsNode.Section section)) {
            problems.add(new SettingsProblem.WrongType(node.location(), childPath, describe(node), "an object"));
        } else if (SettingsSchema.isRecordSection(childPattern)) {
            section.entries().forEach((record, child) -> checkRecord(childPattern, childPath, record, child));
        } else {
            checkSection(childPattern, childPath, section);
        }
    }

    private static String knownNames(String pattern) {
        Stream<String> fields = SettingsSchema.fieldsOf(pattern).stream().map(SettingsField::name);
        Stream<String> sections =
                SettingsSchema.sectionsOf(pattern).stream().map(path -> path.substring(path.lastIndexOf('.') + 1));
        return Stream.concat(fields, sections).collect(Collectors.joining(", "));
    }

    private void checkRecord(String pattern, String path, String name, SettingsNode node) {
        String recordPath = join(path, name);
        if (NAME.read(new SettingsNode.Scalar(node.location(), name)).isEmpty()) {
            problems.add(new SettingsProblem.OutOfRange(node.location(), recordPath, "the name", NAME.text()));
        } else if (node instanceof SettingsNode.Section section) {
            values.addName(path, name, node.location());
            checkSection(pattern + ".*", recordPath, section);
        } else {
            problems.add(new SettingsProblem.WrongType(node.location(), recordPath, describe(node), "an object"));
        }
    }

    private void checkValue(SettingsField field, String path, SettingsNode node) {
        if (node instanceof SettingsNode.Null) {
            applyDefault(field, path, node.location());
            return;
        }
        field.type()
                .read(node)
                .ifPresentOrElse(
                        value -> values.put(path, value, node.location()), () -> reportInvalid(field, path, node));
    }

    private void reportInvalid(SettingsField field, String path, SettingsNode node) {
        String expected = field.type().text();
        problems.add(
                field.type().accepts(node)
                        ? new SettingsProblem.OutOfRange(node.location(), path, describe(node), expected)
                        : new SettingsProblem.WrongType(node.location(), path, describe(node), expected));
    }

    private void applyDefault(SettingsField field, String path, SourceLocation location) {
        if (field.required()) {
            problems.add(
                    new SettingsProblem.Missing(location, path, field.type().text()));
        }
        field.defaultValue().ifPresent(value -> values.put(path, value, location));
    }

    private static String describe(SettingsNode node) {
        return switch (node) {
            case SettingsNode.Section ignored -> "an object";
            case SettingsNode.Array ignored -> "a list";
            case SettingsNode.Null ignored -> "null";
            case SettingsNode.Scalar scalar when scalar.value() instanceof String text -> "\"" + text + "\"";
            case SettingsNode.Scalar scalar -> String.valueOf(scalar.value());
        };
    }
}
