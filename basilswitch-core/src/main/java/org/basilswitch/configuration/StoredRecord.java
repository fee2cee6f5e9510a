package org.basilswitch.configuration;

/**
 * A record as it is stored, not decoded.
 *
 * @param key key in the store
 * @param value the record as JSON
 * @param modRevision revision of the record's last change
 */
record StoredRecord(String key, byte[] value, long modRevision) {}
