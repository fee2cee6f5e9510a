package org.basilswitch.administration;

import java.util.Locale;

/**
 * The reason why a change was refused.
 *
 * @param code category of the reason
 * @param detail what exactly was wrong, for the operator
 */
public record ChangeRefusal(Code code, String detail) {

    /** Categories of reasons, each with its HTTP status and remedy; also the tag of the refusals' metric. */
    public enum Code {
        ROLE_TOO_LOW(403, "Ask an operator with a higher role, or have yours raised in the settings."),
        RECORD_INVALID(422, "Correct the fields named in the detail."),
        RECORD_UNKNOWN(404, "Check the kind and the name; list the kind to see its records."),
        RECORD_CHANGED(409, "Look at the current record and ask again with its revision and a new operation id."),
        REFERENCE_UNKNOWN(422, "Create the record that is named first, or name one that exists."),
        STILL_REFERENCED(409, "Remove or move the records that still name this one first."),
        HOST_NOT_DRAINED(409, "Drain the host first; it can move once its state is DRAINING and its work has ended."),
        STEP_NOT_ALLOWED(409, "Wait for the current step to end; docs/OPERATIONS.md lists the steps."),
        BUDGET_EXHAUSTED(409, "Wait until hosts of the pool are back, add hosts, or lower minAvailableHosts."),
        KEY_HASH_USED(409, "Create another secret: this one is granted under another name or was withdrawn."),
        OPERATION_ID_REUSED(422, "Use a new operation id for each different change."),
        VIEW_BEHIND(503, "Ask again, or ask another entry host: this one lags behind the store."),
        NO_MAJORITY(503, "Ask another entry host: this one has lost touch with the majority of its peers."),
        CONTENDED(503, "Ask again: other changes of the same pool or team came first each time."),
        STORE_UNAVAILABLE(503, "Ask again when the platform's store is back; nothing was changed.");

        private final int status;
        private final String remedy;

        Code(int status, String remedy) {
            this.status = status;
            this.remedy = remedy;
        }

        /** Returns the HTTP status. */
        public int status() {
            return status;
        }

        /** Returns what the operator can do about it. */
        public String remedy() {
            return remedy;
        }

        /** Returns the code as it is written in problem documents and metric tags. */
        public String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
