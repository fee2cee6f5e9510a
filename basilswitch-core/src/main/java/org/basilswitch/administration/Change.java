package org.basilswitch.administration;

import com.fasterxml.jackson.databind.JsonNode;
import org.basilswitch.configuration.ConfigurationRecord;

/** A wanted change of one record. */
public sealed interface Change {

    /** The record to change. */
    RecordKey key();

    /** Creates or replaces a record. */
    record Put(ConfigurationRecord record) implements Change {
        @Override
        public RecordKey key() {
            return RecordKey.of(record);
        }
    }

    /** Changes single fields, as a JSON merge patch (RFC 7396). */
    record Patch(RecordKey key, JsonNode patch) implements Change {}

    /** Deletes a record; of a key this is its withdrawal. */
    record Delete(RecordKey key) implements Change {}
}
