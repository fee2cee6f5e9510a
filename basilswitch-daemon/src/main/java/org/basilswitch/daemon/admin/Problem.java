package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.administration.AuditRecord;

/**
 * Problem details of the administration interface (RFC 9457).
 *
 * @param type always {@code about:blank}
 * @param title the code with spaces in place of hyphens
 * @param status HTTP status
 * @param code machine-readable reason
 * @param result {@code refused}, or {@code unknown} if the change may have been applied
 * @param detail description of the problem
 * @param remedy how to correct it
 * @param current the current record; empty unless the change conflicts with an earlier one
 * @param lastChange the earlier change; empty if it is not known
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
