package org.basilswitch.administration;

import java.util.Optional;

/** The outcome of a requested change. */
public sealed interface ChangeResult {

    /**
     * The change was committed to the store and will not be reverted.
     *
     * @param operation stored result of the operation
     * @param revision store revision at which the change was applied
     */
    record Accepted(OperationRecord operation, long revision) implements ChangeResult {}

    /**
     * The change was not applied.
     *
     * @param refusal reason of the refusal
     * @param current the current record, when its revision differs from the expected one
     */
    record Refused(ChangeRefusal refusal, Optional<VersionedRecord> current) implements ChangeResult {

        static Refused of(ChangeRefusal.Code code, String detail) {
            return new Refused(new ChangeRefusal(code, detail), Optional.empty());
        }
    }

    /** Responses of the store were lost; the request can be repeated with the same operation id. */
    record Unknown(String operationId, String detail) implements ChangeResult {}
}
