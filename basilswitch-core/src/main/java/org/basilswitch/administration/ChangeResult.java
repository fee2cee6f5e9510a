package org.basilswitch.administration;

import java.util.Optional;

/** What became of a change. */
public sealed interface ChangeResult {

    /**
     * The change is in the store and will not be reverted.
     *
     * @param operation what was recorded
     * @param revision revision of the store at which it was applied
     */
    record Accepted(OperationRecord operation, long revision) implements ChangeResult {}

    /**
     * The change was not applied.
     *
     * @param refusal why
     * @param current the record as it is now, when it differs from what the operator expected
     */
    record Refused(ChangeRefusal refusal, Optional<VersionedRecord> current) implements ChangeResult {

        static Refused of(ChangeRefusal.Code code, String detail) {
            return new Refused(new ChangeRefusal(code, detail), Optional.empty());
        }
    }

    /** The store's answers were lost: ask again with the same operation id. */
    record Unknown(String operationId, String detail) implements ChangeResult {}
}
