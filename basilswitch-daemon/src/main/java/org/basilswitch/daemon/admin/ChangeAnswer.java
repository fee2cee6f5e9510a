package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.administration.ChangeResult;
import org.basilswitch.administration.OperationRecord;
import org.basilswitch.membership.InForceMonitor;
import org.basilswitch.membership.Member;

/**
 * Response to an accepted change.
 *
 * @param result {@code in-force} once a majority of the entry hosts applies it, {@code accepted} before
 * @param operationId operation id
 * @param kind kind of the record
 * @param name name of the record
 * @param action action on the record
 * @param revision store revision of the change; the next change of the record must expect it
 * @param inForceAt names of the entry hosts known to apply it
 * @param entryHosts names of all entry hosts
 */
public record ChangeAnswer(
        String result,
        String operationId,
        String kind,
        String name,
        OperationRecord.Action action,
        long revision,
        List<String> inForceAt,
        List<String> entryHosts) {

    static ChangeAnswer of(ChangeResult.Accepted accepted, InForceMonitor.Acknowledgement state) {
        OperationRecord operation = accepted.operation();
        return new ChangeAnswer(
                state.inForce() ? "in-force" : "accepted",
                operation.operationId(),
                operation.kind(),
                operation.name(),
                operation.action(),
                accepted.revision(),
                names(state.acknowledged()),
                names(state.members()));
    }

    private static List<String> names(List<Member> members) {
        return members.stream().map(Member::name).sorted().toList();
    }
}
