package org.basilswitch.administration;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.store.StoreKeys;

/**
 * Identifies a configuration record.
 *
 * @param kind path segment, such as {@code teams}
 * @param name name, unique within the kind
 */
public record RecordKey(String kind, String name) {

    /** The key of a record. */
    public static RecordKey of(ConfigurationRecord record) {
        return new RecordKey(ConfigurationRecord.kind(record.getClass()), record.name());
    }

    /** Key in the store. */
    String storeKey(StoreKeys keys) {
        return keys.configuration(kind, name);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
