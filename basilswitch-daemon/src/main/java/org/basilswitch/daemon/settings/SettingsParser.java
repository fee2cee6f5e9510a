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

/** Parses a source into nodes with their locations. */
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

    /** Parses a source; if it is malformed, adds a problem and returns an empty section. */
    static SettingsNode.Section parse(SettingsSource source, List<SettingsProblem> problems) {
        SourceLocation start = new SourceLocation(source.name(), 1, 1);
        try (JsonParser json = FACTORY.createParser(source.text())) {
            SettingsParser parser = new SettingsParser(source.name(), json, problems);
            json.nextToken();
            SettingsNode root = parser.parseNode();
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

    private SettingsNode parseNode() throws IOException {
        SourceLocation location = location();
        JsonToken token = parser.currentToken();
        if (token == null) {
            return new SettingsNode.Null(location);
        }
        return switch (token) {
            case START_OBJECT -> parseSection(location);
            case START_ARRAY -> parseArray(location);
            case VALUE_STRING -> new SettingsNode.Scalar(location, parser.getText());
            case VALUE_NUMBER_INT -> parseInteger(location);
            case VALUE_NUMBER_FLOAT -> new SettingsNode.Scalar(location, parser.getDoubleValue());
            case VALUE_TRUE, VALUE_FALSE -> new SettingsNode.Scalar(location, parser.getBooleanValue());
            default -> new SettingsNode.Null(location);
        };
    }

    private SettingsNode parseInteger(SourceLocation location) throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> new SettingsNode.Scalar(location, parser.getLongValue());
            default -> new SettingsNode.Scalar(location, parser.getDoubleValue());
        };
    }

    private SettingsNode parseSection(SourceLocation location) throws IOException {
        Map<String, SettingsNode> entries = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            SourceLocation nameLocation = location();
            parser.nextToken();
            if (entries.put(name, parseNode()) != null) {
                problems.add(new SettingsProblem.Duplicate(nameLocation, name));
            }
        }
        return new SettingsNode.Section(location, entries);
    }

    private SettingsNode parseArray(SourceLocation location) throws IOException {
        List<SettingsNode> nodes = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            nodes.add(parseNode());
        }
        return new SettingsNode.Array(location, List.copyOf(nodes));
    }
}
