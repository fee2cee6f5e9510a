package org.basilswitch.configuration;

/**
 * A record's stored bytes.
 *
 * @param key key in the store
 * @param value JSON
 * @param modRevision revision of the record's last change
 */
record StoredRecord(String key, byte[] value, long modRevision) {}
