package org.basilswitch.administration;

/**
 * The result of an accepted change, kept in the store under its operation id.
 *
 * @param operationId id of the operation, chosen by the operator
 * @param operator name of the operator
 * @param fingerprint hash of the request, to detect another request with the same id
 * @param kind kind of the record
 * @param name name of the record
 * @param action what the change did
 * @param atMs time by the accepting entry host's clock, in milliseconds since 1970
 */
public record OperationRecord(
        String operationId, String operator, String fingerprint, String kind, String name, Action action, long atMs) {

    /** What a change did to its record. */
    public enum Action {
        CREATED,
        CHANGED,
        DELETED
    }
}
