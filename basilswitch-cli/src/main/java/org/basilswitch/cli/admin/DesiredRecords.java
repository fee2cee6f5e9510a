package org.basilswitch.cli.admin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.basilswitch.administration.RecordKey;
import org.basilswitch.administration.RecordReader;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.daemon.admin.RecordView;
import org.basilswitch.daemon.settings.SettingsDifference;

/**
 * The records of the settings, compared with those of a running site.
 *
 * <p>The settings define only the initial pool and state of a host. In a running site operators and pool controllers
 * change them, so the values of the running site are kept.
 */
final class DesiredRecords {
    private static final List<String> KEPT_HOST_FIELDS = List.of("pool", "state");

    private final Map<RecordKey, ObjectNode> desired = new LinkedHashMap<>();
    private final Map<RecordKey, RecordView> running = new LinkedHashMap<>();

    private DesiredRecords() {}

    /** Reads the running site's records of the kinds that occur in the settings. */
    static DesiredRecords read(List<ConfigurationRecord> records, AdministrationClient client) {
        DesiredRecords result = new DesiredRecords();
        Set<String> kinds = new LinkedHashSet<>();
        for (ConfigurationRecord record : records) {
            RecordKey key = RecordKey.of(record);
            result.desired.put(key, (ObjectNode) RecordReader.toJsonTree(record));
            kinds.add(key.kind());
        }
        for (String kind : kinds) {
            client.list(kind).forEach(view -> result.running.put(new RecordKey(kind, view.name()), view));
        }
        result.desired.forEach(result::keepHostFields);
        return result;
    }

    private void keepHostFields(RecordKey key, ObjectNode record) {
        RecordView view = running.get(key);
        if (view != null && key.kind().equals("hosts")) {
            KEPT_HOST_FIELDS.forEach(field -> record.set(field, view.record().path(field)));
        }
    }

    /** Returns the keys of records that are missing in the site or differ, in the order in which they can be written. */
    List<RecordKey> toWrite() {
        return desired.keySet().stream()
                .filter(key -> !Optional.ofNullable(running.get(key))
                        .map(view -> view.record().toString())
                        .equals(Optional.of(desired.get(key).toString())))
                .toList();
    }

    /** Returns the keys of the site's records that are not in the settings. */
    List<RecordKey> notInSettings() {
        return running.keySet().stream()
                .filter(key -> !desired.containsKey(key))
                .toList();
    }

    JsonNode record(RecordKey key) {
        return desired.get(key);
    }

    /** Returns the revision that a write must expect; 0 if the record is new. */
    long revision(RecordKey key) {
        return Optional.ofNullable(running.get(key)).map(RecordView::revision).orElse(0L);
    }

    /** Returns the differences from the running site to the settings. */
    List<SettingsDifference> differences() {
        Map<RecordKey, JsonNode> current = running.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().record()));
        return new ArrayList<>(SettingsDifference.between(flatten(current), flatten(desired)));
    }

    private static Map<String, String> flatten(Map<RecordKey, ? extends JsonNode> records) {
        Map<String, String> values = new TreeMap<>();
        records.forEach((key, record) -> record.properties()
                .forEach(field -> values.put(
                        key.kind() + "." + key.name() + "." + field.getKey(),
                        field.getValue().asText())));
        return values;
    }
}
