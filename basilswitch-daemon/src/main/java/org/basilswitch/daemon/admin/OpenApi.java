package org.basilswitch.daemon.admin;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.basilswitch.administration.RecordField;
import org.basilswitch.configuration.ConfigurationRecord;

/** Generates the OpenAPI 3 document of the administration interface from its endpoints and their body types. */
final class OpenApi {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final Map<String, ObjectNode> schemas = new TreeMap<>();

    private OpenApi() {}

    /** Returns the document. */
    static ObjectNode createDocument() {
        return new OpenApi().build();
    }

    private ObjectNode build() {
        ObjectNode document = JSON.objectNode().put("openapi", "3.0.3");
        document.putObject("info").put("title", "basilswitch administration").put("version", "1");
        ObjectNode paths = document.putObject("paths");
        for (Endpoint endpoint : Endpoint.all()) {
            paths.withObjectProperty(endpoint.path())
                    .set(endpoint.method().name().toLowerCase(java.util.Locale.ROOT), operation(endpoint));
        }
        ObjectNode components = document.putObject("components");
        components
                .putObject("securitySchemes")
                .putObject("operatorKey")
                .put("type", "http")
                .put("scheme", "bearer");
        ObjectNode schemaNodes = components.putObject("schemas");
        schemas.forEach(schemaNodes::set);
        document.putArray("security").addObject().putArray("operatorKey");
        return document;
    }

    private ObjectNode operation(Endpoint endpoint) {
        ObjectNode operation = JSON.objectNode().put("summary", endpoint.summary());
        var parameters = operation.putArray("parameters");
        java.util.regex.Pattern.compile("\\{([^}]+)}")
                .matcher(endpoint.path())
                .results()
                .forEach(match -> parameters.add(parameter("path", match.group(1), true)));
        if (endpoint.isChange()) {
            parameters.add(parameter("header", ChangeHeaders.OPERATION_ID, true));
            parameters.add(parameter("header", "If-Match", false));
            parameters.add(parameter("header", "If-None-Match", false));
        }
        if (endpoint.action() == Endpoint.Action.AUDIT) {
            parameters.add(parameter("query", "limit", false));
            parameters.add(parameter("query", "hours", false));
            parameters.add(parameter("query", "record", false));
        }
        if (endpoint.isChange() || endpoint.action() == Endpoint.Action.OPERATION) {
            parameters.add(parameter("header", "Prefer", false));
        }
        String bodyType =
                endpoint.action() == Endpoint.Action.PATCH ? "application/merge-patch+json" : "application/json";
        endpoint.body()
                .ifPresent(
                        type -> addContent(operation.putObject("requestBody").put("required", true), bodyType, type));
        ObjectNode responses = operation.putObject("responses");
        addContent(
                responses.putObject("200").put("description", "Answered, or in force"),
                "application/json",
                endpoint.answer());
        if (endpoint.isChange()) {
            ObjectNode accepted = responses.putObject("202").put("description", "Accepted, not yet in force");
            addContent(accepted, "application/json", endpoint.answer());
        }
        ObjectNode refused = responses.putObject("default").put("description", "Refused, or unknown");
        addContent(refused, "application/problem+json", Problem.class);
        return operation;
    }

    private static ObjectNode parameter(String in, String name, boolean required) {
        ObjectNode parameter = JSON.objectNode().put("name", name).put("in", in).put("required", required);
        parameter.putObject("schema").put("type", "string");
        return parameter;
    }

    private void addContent(ObjectNode parent, String mediaType, Class<?> type) {
        parent.putObject("content").putObject(mediaType).set("schema", schema(type));
    }

    private ObjectNode schema(Type type) {
        if (type instanceof ParameterizedType generic) {
            return genericSchema(generic);
        }
        Class<?> plain = (Class<?>) type;
        if (plain.isRecord()) {
            addSchema(plain);
            return JSON.objectNode().put("$ref", "#/components/schemas/" + plain.getSimpleName());
        }
        ObjectNode schema = JSON.objectNode();
        if (plain.isEnum()) {
            var values = schema.put("type", "string").putArray("enum");
            Arrays.stream(plain.getEnumConstants()).forEach(value -> values.add(value.toString()));
        } else if (plain == String.class) {
            schema.put("type", "string");
        } else if (plain == boolean.class) {
            schema.put("type", "boolean");
        } else if (plain == int.class || plain == Integer.class) {
            schema.put("type", "integer").put("format", "int32");
        } else if (plain == long.class) {
            schema.put("type", "integer").put("format", "int64");
        } else if (plain != JsonNode.class) {
            throw new IllegalStateException("no schema for " + plain);
        }
        return schema;
    }

    private ObjectNode genericSchema(ParameterizedType generic) {
        ObjectNode schema = JSON.objectNode();
        Type elementType = generic.getActualTypeArguments()[generic.getActualTypeArguments().length - 1];
        if (Collection.class.isAssignableFrom((Class<?>) generic.getRawType())) {
            schema.put("type", "array").set("items", schema(elementType));
        } else {
            schema.put("type", "object").set("additionalProperties", schema(elementType));
        }
        return schema;
    }

    private void addSchema(Class<?> type) {
        if (schemas.containsKey(type.getSimpleName())) {
            return;
        }
        ObjectNode schema = JSON.objectNode().put("type", "object");
        schemas.put(type.getSimpleName(), schema);
        ObjectNode properties = schema.putObject("properties");
        for (RecordComponent component : type.getRecordComponents()) {
            properties.set(component.getName(), schema(component.getGenericType()));
        }
        if (ConfigurationRecord.class.isAssignableFrom(type)) {
            addRanges(properties, ConfigurationRecord.kind(type.asSubclass(ConfigurationRecord.class)));
        }
    }

    private static void addRanges(ObjectNode properties, String kind) {
        for (RecordField field : RecordField.values()) {
            if (field.kind().equals(kind)) {
                properties
                        .withObjectProperty(field.field())
                        .put("minimum", field.min())
                        .put("maximum", field.max());
            }
        }
    }
}
