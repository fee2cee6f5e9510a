package org.basilswitch.daemon.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/** Parses one source into nodes that know their places. */
final class SettingsParser {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private final String file;
    private final JsonParser parser;
    private final List<SettingsProblem> problems;

    private SettingsParser(String file, JsonParser parser, List<SettingsProblem> problems) {
        this.file = file;
        this.parser = parser;
        this.problems = problems;
    }

    /** Parses a source; a malformed one is reported and gives an empty section. */
    static SettingsNode.Section parse(SettingsSource source, List<SettingsProblem> problems) {
        SourceLocation start = new SourceLocation(source.name(), 1, 1);
        try (JsonParser json = FACTORY.createParser(source.text())) {
            SettingsParser parser = new SettingsParser(source.name(), json, problems);
            json.nextToken();
            SettingsNode root = parser.node();
            if (root instanceof SettingsNode.Section section && json.nextToken() == null) {
                return section;
            }
            problems.add(new SettingsProblem.Malformed(parser.location(), "the file is not one JSON object"));
        } catch (JsonProcessingException e) {
            problems.add(
                    new SettingsProblem.Malformed(location(source.name(), e.getLocation()), e.getOriginalMessage()));
        } catch (IOException e) {
            problems.add(new SettingsProblem.Unreadable(source.name(), e.toString()));
        }
        return new SettingsNode.Section(start, Map.of());
    }

    private static SourceLocation location(String file, JsonLocation at) {
        return at == null ? new SourceLocation(file, 1, 1) : new SourceLocation(file, at.getLineNr(), at.getColumnNr());
    }

    private SourceLocation location() {
        return location(file, parser.currentTokenLocation());
    }

    private SettingsNode node() throws IOException {
        SourceLocation at = location();
        JsonToken token = parser.currentToken();
        if (token == null) {
            return new SettingsNode.Absent(at);
        }
        return switch (token) {
            case START_OBJECT -> section(at);
            case START_ARRAY -> items(at);
            case VALUE_STRING -> new SettingsNode.Scalar(at, parser.getText());
            case VALUE_NUMBER_INT -> integer(at);
            case VALUE_NUMBER_FLOAT -> new SettingsNode.Scalar(at, parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> new SettingsNode.Scalar(at, parser.getBooleanValue());
            default -> new SettingsNode.Absent(at);
        };
    }

    private SettingsNode integer(SourceLocation at) throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> new SettingsNode.Scalar(at, parser.getLongValue());
            default -> new SettingsNode.Scalar(at, parser.getDoubleValue());
        };
    }

    private SettingsNode section(SourceLocation at) throws IOException {
        Map<String, SettingsNode> entries = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            SourceLocation nameAt = location();
            parser.nextToken();
            if (entries.put(name, node()) != null) {
                problems.add(new SettingsProblem.Duplicate(nameAt, name));
            }
        }
        return new SettingsNode.Section(at, entries);
    }

    private SettingsNode items(SourceLocation at) throws IOException {
        List<SettingsNode> nodes = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            nodes.add(node());
        }
        return new SettingsNode.Items(at, List.copyOf(nodes));
    }
}
