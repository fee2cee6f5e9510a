package org.basilswitch.administration;

import com.fasterxml.jackson.databind.JsonNode;
import org.basilswitch.configuration.ConfigurationRecord;

/** A requested change of one record. */
public sealed interface Change {

    /** Returns the key of the record to change. */
    RecordKey key();

    /** Creates or replaces a record. */
    record Put(ConfigurationRecord record) implements Change {
        @Override
        public RecordKey key() {
            return RecordKey.of(record);
        }
    }

    /** Changes individual fields by a JSON merge patch (RFC 7396). */
    record Patch(RecordKey key, JsonNode patch) implements Change {}

    /** Deletes a record; deleting a team key withdraws it. */
    record Delete(RecordKey key) implements Change {}
}
