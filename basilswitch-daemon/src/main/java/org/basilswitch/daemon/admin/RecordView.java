package org.basilswitch.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A record as the administration interface shows it.
 *
 * @param kind kind, such as {@code teams}
 * @param name name
 * @param revision revision that a change of it has to expect
 * @param record the record
 */
public record RecordView(String kind, String name, long revision, JsonNode record) {}
