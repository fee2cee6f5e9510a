package org.basilswitch.administration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Audit record of a change: who changed what and when. It is written by the transaction that makes the change.
 *
 * @param operationId id of the operation that made the change
 * @param operator name of the operator
 * @param atMs time by the accepting entry host's clock, in milliseconds since 1970
 * @param action what the change did
 * @param kind kind of the record
 * @param name name of the record
 * @param before the record before the change; JSON null when it was created
 * @param after the record after the change; JSON null when it was deleted
 */
public record AuditRecord(
        String operationId,
        String operator,
        long atMs,
        OperationRecord.Action action,
        String kind,
        String name,
        JsonNode before,
        JsonNode after) {}
