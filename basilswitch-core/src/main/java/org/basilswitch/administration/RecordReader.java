package org.basilswitch.administration;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.TeamKey;

/**
 * Reads records from operators' requests and validates them strictly: fields without a default must be present, unknown
 * fields are refused, and values must be within their ranges.
 */
public final class RecordReader {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();
    private static final Pattern NAME_PATTERN = Pattern.compile("[\\p{Ll}0-9][\\p{Ll}0-9-]{0,62}");
    private static final Pattern HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]+\\]):\\d{1,5}");

    private RecordReader() {}

    /** Reads and validates a record; its name must be the name in the key. */
    public static Either<ChangeRefusal, ConfigurationRecord> read(RecordKey key, JsonNode json) {
        return SiteConfiguration.recordType(key.kind())
                .map(type -> read(key, json, type))
                .orElseGet(() ->
                        Either.left(new ChangeRefusal(ChangeRefusal.Code.RECORD_UNKNOWN, "no kind " + key.kind())));
    }

    private static Either<ChangeRefusal, ConfigurationRecord> read(
            RecordKey key, JsonNode json, Class<? extends ConfigurationRecord> type) {
        if (!(json instanceof ObjectNode object)) {
            return invalid("not a JSON object");
        }
        ObjectNode complete = defaultFields(key);
        complete.setAll(object);
        try {
            ConfigurationRecord record = MAPPER.treeToValue(complete, type);
            List<String> errors = findErrors(key, record, complete);
            return errors.isEmpty() ? Either.right(record) : invalid(String.join("; ", errors));
        } catch (JsonProcessingException e) {
            return invalid(e.getOriginalMessage());
        }
    }

    private static ObjectNode defaultFields(RecordKey key) {
        ObjectNode defaults = MAPPER.createObjectNode().put("name", key.name());
        switch (key.kind()) {
            case "teams" -> defaults.put("shareWeight", 1);
            case "pools" -> defaults.put("spare", false);
            case "queues" -> defaults.put("openToAll", false).put("idempotent", false);
            case "hosts" -> defaults.put("state", "ACTIVE").put("accelerators", 0);
            case "waves" -> {
                defaults.put("phase", "PLANNED").put("haltReason", "");
                defaults.putArray("done");
            }
            default -> {}
        }
        return defaults;
    }

    private static <T> Either<ChangeRefusal, T> invalid(String detail) {
        return Either.left(new ChangeRefusal(ChangeRefusal.Code.RECORD_INVALID, detail));
    }

    private static List<String> findErrors(RecordKey key, ConfigurationRecord record, ObjectNode json) {
        List<String> errors = new ArrayList<>();
        if (!record.name().equals(key.name())) {
            errors.add("the name differs from the path's, " + key.name());
        }
        if (!NAME_PATTERN.matcher(key.name()).matches()) {
            errors.add("the name has to be 1 to 63 lower-case letters, digits and hyphens");
        }
        for (RecordField field : RecordField.values()) {
            if (field.kind().equals(key.kind())
                    && !field.allows(json.path(field.field()).longValue())) {
                errors.add(field.field() + " has to be from " + field.min() + " to " + field.max());
            }
        }
        errors.addAll(findTextErrors(record));
        return errors;
    }

    private static List<String> findTextErrors(ConfigurationRecord record) {
        return switch (record) {
            case TeamKey teamKey
            when !HASH_PATTERN.matcher(teamKey.sha256Hex()).matches() ->
                List.of("sha256Hex has to be 64 lower-case hexadecimal digits");
            case Host host
            when !ADDRESS_PATTERN.matcher(host.address()).matches() ->
                List.of("address has to be an IP number and a port");
            case MaintenanceWave wave when wave.hosts().isEmpty() -> List.of("hosts has to name at least one host");
            default -> List.of();
        };
    }

    /** Applies a JSON merge patch (RFC 7396) to a record and validates the result. */
    static Either<ChangeRefusal, ConfigurationRecord> applyPatch(
            RecordKey key, ConfigurationRecord record, JsonNode patch) {
        return read(key, merge(MAPPER.valueToTree(record), patch));
    }

    private static JsonNode merge(JsonNode target, JsonNode patch) {
        if (!(patch instanceof ObjectNode fields)) {
            return patch;
        }
        ObjectNode merged = target instanceof ObjectNode object ? object : MAPPER.createObjectNode();
        fields.properties().forEach(field -> {
            if (field.getValue().isNull()) {
                merged.remove(field.getKey());
            } else {
                merged.set(field.getKey(), merge(merged.path(field.getKey()), field.getValue()));
            }
        });
        return merged;
    }

    /** Converts a record to a JSON tree. */
    public static JsonNode toJsonTree(Object record) {
        return MAPPER.valueToTree(record);
    }
}
