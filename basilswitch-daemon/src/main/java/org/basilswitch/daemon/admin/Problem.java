package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.administration.AuditRecord;

/**
 * A problem document of the administration interface.
 *
 * @param type always {@code about:blank}
 * @param title the code in words
 * @param status HTTP status
 * @param code typed reason
 * @param result {@code refused}, or {@code unknown} when the change may have been applied
 * @param detail what exactly is wrong
 * @param remedy what to do
 * @param current the record as it is now; empty unless another change came first
 * @param lastChange the change that came first; empty when it is not known
 */
public record Problem(
        String type,
        String title,
        int status,
        String code,
        String result,
        String detail,
        String remedy,
        List<RecordView> current,
        List<AuditRecord> lastChange) {

    static Problem of(int status, String code, String detail, String remedy) {
        String title = code.replace('-', ' ');
        return new Problem("about:blank", title, status, code, "refused", detail, remedy, List.of(), List.of());
    }

    Problem withCurrent(List<RecordView> record, List<AuditRecord> change) {
        return new Problem(type, title, status, code, result, detail, remedy, record, change);
    }

    Problem withUnknownResult() {
        return new Problem(type, title, status, code, "unknown", detail, remedy, current, lastChange);
    }
}
