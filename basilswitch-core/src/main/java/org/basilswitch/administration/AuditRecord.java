package org.basilswitch.administration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Who changed what and when; written by the transaction that made the change.
 *
 * @param operationId operation id
 * @param operator name of the operator
 * @param atMs time by the accepting entry host's clock, in milliseconds since 1970
 * @param action what was done
 * @param kind kind of the record
 * @param name name of the record
 * @param before the record before, JSON null when it was created
 * @param after the record after, JSON null when it was deleted
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
