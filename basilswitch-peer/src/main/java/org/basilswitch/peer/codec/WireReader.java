package org.basilswitch.peer.codec;

import java.util.List;
import java.util.Optional;

import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.wire.WireConfigurationUpdate;
import org.basilswitch.peer.wire.WireEnvelope;
import org.basilswitch.peer.wire.WireHeartbeat;
import org.basilswitch.peer.wire.WireHeartbeatReply;
import org.basilswitch.peer.wire.WireRecordChange;
import org.basilswitch.peer.wire.WireTeamUsage;

/** Converts Thrift structs to peer messages. */
final class WireReader {
    private WireReader() {}

    static Optional<PeerMessage> message(WireEnvelope envelope) {
        if (envelope.isSetHeartbeat()) {
            return Optional.of(heartbeat(envelope.getHeartbeat()));
        }
        if (envelope.isSetHeartbeatReply()) {
            return Optional.of(heartbeatReply(envelope.getHeartbeatReply()));
        }
        if (envelope.isSetConfigurationUpdate()) {
            return Optional.of(configurationUpdate(envelope.getConfigurationUpdate()));
        }
        if (envelope.isSetSnapshotRequest()) {
            return Optional.of(new PeerMessage.SnapshotRequest(
                    envelope.getSnapshotRequest().getRevision()));
        }
        return claimMessage(envelope).or(() -> allotmentMessage(envelope));
    }

    private static Optional<PeerMessage> claimMessage(WireEnvelope envelope) {
        if (envelope.isSetClaimRequest()) {
            var m = envelope.getClaimRequest();
            return Optional.of(new PeerMessage.ClaimRequest(
                    m.getCorrelation(), m.getBucket(), m.getIdHigh(), m.getIdLow(), m.getClaimTimeMs()));
        }
        if (envelope.isSetClaimReply()) {
            var m = envelope.getClaimReply();
            return Optional.of(new PeerMessage.ClaimReply(m.getCorrelation(), verdict(m.getVerdict())));
        }
        if (envelope.isSetClaimRelease()) {
            var m = envelope.getClaimRelease();
            return Optional.of(
                    new PeerMessage.ClaimRelease(m.getCorrelation(), m.getBucket(), m.getIdHigh(), m.getIdLow()));
        }
        return Optional.empty();
    }

    private static Optional<PeerMessage> allotmentMessage(WireEnvelope envelope) {
        if (envelope.isSetAllotmentRequest()) {
            var m = envelope.getAllotmentRequest();
            return Optional.of(new PeerMessage.AllotmentRequest(emptyIfNull(m.getTeam()), m.getWantedUnits()));
        }
        if (envelope.isSetAllotmentNotice()) {
            var m = envelope.getAllotmentNotice();
            return Optional.of(
                    new PeerMessage.AllotmentNotice(emptyIfNull(m.getTeam()), m.getRevision(), m.getUnits()));
        }
        return Optional.empty();
    }

    private static PeerMessage.ClaimVerdict verdict(int ordinal) {
        PeerMessage.ClaimVerdict[] verdicts = PeerMessage.ClaimVerdict.values();
        // A verdict that only a newer version knows must not count as a grant.
        return ordinal >= 0 && ordinal < verdicts.length ? verdicts[ordinal] : PeerMessage.ClaimVerdict.UNAVAILABLE;
    }

    private static PeerMessage heartbeat(WireHeartbeat m) {
        List<WireTeamUsage> usages = m.isSetUsages() ? m.getUsages() : List.of();
        return new PeerMessage.Heartbeat(
                m.getSequence(),
                m.getRevision(),
                m.getKnownRevision(),
                m.getAcknowledgedRevision(),
                usages.stream().map(WireReader::teamUsage).toList());
    }

    private static PeerMessage.TeamUsage teamUsage(WireTeamUsage usage) {
        return new PeerMessage.TeamUsage(
                emptyIfNull(usage.getPool()),
                emptyIfNull(usage.getTeam()),
                usage.getRunning(),
                usage.getWaiting(),
                usage.getUsedMs());
    }

    private static PeerMessage heartbeatReply(WireHeartbeatReply m) {
        return new PeerMessage.HeartbeatReply(
                m.getSequence(), m.isPromised(), m.getRevision(), m.getKnownRevision(), m.getAcknowledgedRevision());
    }

    private static PeerMessage configurationUpdate(WireConfigurationUpdate m) {
        List<WireRecordChange> changes = m.isSetChanges() ? m.getChanges() : List.of();
        return new PeerMessage.ConfigurationUpdate(
                m.getFromRevision(),
                m.getToRevision(),
                m.getKnownRevision(),
                changes.stream().map(WireReader::recordChange).toList());
    }

    private static PeerMessage.RecordChange recordChange(WireRecordChange change) {
        return new PeerMessage.RecordChange(
                emptyIfNull(change.getKey()), Optional.ofNullable(change.getValue()), change.getModRevision());
    }

    private static String emptyIfNull(String value) {
        return value == null ? "" : value;
    }
}
