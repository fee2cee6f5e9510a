package org.basilswitch.daemon.admin;

import java.util.List;

import org.basilswitch.administration.ChangeResult;
import org.basilswitch.administration.OperationRecord;
import org.basilswitch.membership.InForceMonitor;
import org.basilswitch.membership.Member;

/**
 * What became of an accepted change.
 *
 * @param result {@code in-force} once a majority of the entry hosts acts on it, before that {@code accepted}
 * @param operationId operation id
 * @param kind kind of the record
 * @param name name of the record
 * @param action what was done
 * @param revision revision of the store at which it was applied; what the next change of the record has to expect
 * @param inForceAt names of the entry hosts known to act on it
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
