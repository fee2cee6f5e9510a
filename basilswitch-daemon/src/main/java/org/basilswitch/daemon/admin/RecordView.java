package org.basilswitch.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A record in a response of the administration interface.
 *
 * @param kind kind, such as {@code teams}
 * @param name name of the record
 * @param revision store revision of the record; a change of it must expect this revision
 * @param record the fields of the record
 */
public record RecordView(String kind, String name, long revision, JsonNode record) {}
