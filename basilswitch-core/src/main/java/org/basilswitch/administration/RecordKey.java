package org.basilswitch.administration;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.store.StoreKeys;

/**
 * Identifies a configuration record.
 *
 * @param kind kind of the record as a path segment, such as {@code teams}
 * @param name name of the record, unique within the kind
 */
public record RecordKey(String kind, String name) {

    /** Returns the key of a record. */
    public static RecordKey of(ConfigurationRecord record) {
        return new RecordKey(ConfigurationRecord.kind(record.getClass()), record.name());
    }

    /** Returns the record's key in the store. */
    String storeKey(StoreKeys keys) {
        return keys.configuration(kind, name);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
