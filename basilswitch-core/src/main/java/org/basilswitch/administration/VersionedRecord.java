package org.basilswitch.administration;

import java.util.Optional;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.store.PlatformStore;

/**
 * A record with its modification revision, which a change of the record must state as expected.
 *
 * @param key key of the record
 * @param revision modification revision
 * @param record the record
 */
public record VersionedRecord(RecordKey key, long revision, ConfigurationRecord record) {

    /** Decodes a store entry; returns empty when it is not a valid record of the key's kind. */
    static Optional<VersionedRecord> decode(RecordKey key, PlatformStore.Entry entry) {
        return SiteConfiguration.recordType(key.kind())
                .flatMap(type -> RecordCodec.decode(entry.value(), type))
                .map(record -> new VersionedRecord(key, entry.modRevision(), record));
    }
}
