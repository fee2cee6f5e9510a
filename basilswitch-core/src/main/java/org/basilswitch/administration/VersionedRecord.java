package org.basilswitch.administration;

import java.util.Optional;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.store.PlatformStore;

/**
 * A record with the revision that a change of it has to expect.
 *
 * @param key kind and name
 * @param revision modification revision
 * @param record the record
 */
public record VersionedRecord(RecordKey key, long revision, ConfigurationRecord record) {

    /** Decodes a store's entry; empty when it is not a record of the kind. */
    static Optional<VersionedRecord> decode(RecordKey key, PlatformStore.Entry entry) {
        return SiteConfiguration.typeOf(key.kind())
                .flatMap(type -> RecordCodec.decode(entry.value(), type))
                .map(record -> new VersionedRecord(key, entry.modRevision(), record));
    }
}
