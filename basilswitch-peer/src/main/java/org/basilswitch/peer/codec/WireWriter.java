package org.basilswitch.peer.codec;

import java.util.List;

import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.wire.WireAllotmentNotice;
import org.basilswitch.peer.wire.WireAllotmentRequest;
import org.basilswitch.peer.wire.WireClaimRelease;
import org.basilswitch.peer.wire.WireClaimReply;
import org.basilswitch.peer.wire.WireClaimRequest;
import org.basilswitch.peer.wire.WireConfigurationUpdate;
import org.basilswitch.peer.wire.WireEnvelope;
import org.basilswitch.peer.wire.WireHeartbeat;
import org.basilswitch.peer.wire.WireHeartbeatReply;
import org.basilswitch.peer.wire.WireRecordChange;
import org.basilswitch.peer.wire.WireSnapshotRequest;
import org.basilswitch.peer.wire.WireTeamUsage;

/** Converts peer messages to Thrift structs. */
final class WireWriter {
    private WireWriter() {}

    static WireEnvelope envelope(PeerMessage message) {
        WireEnvelope envelope = new WireEnvelope();
        return switch (message) {
            case PeerMessage.Heartbeat m -> envelope.setHeartbeat(heartbeat(m));
            case PeerMessage.HeartbeatReply m -> envelope.setHeartbeatReply(heartbeatReply(m));
            case PeerMessage.ClaimRequest m -> envelope.setClaimRequest(claimRequest(m));
            case PeerMessage.ClaimReply m -> envelope.setClaimReply(claimReply(m));
            case PeerMessage.ClaimRelease m -> envelope.setClaimRelease(claimRelease(m));
            case PeerMessage.AllotmentRequest m ->
                envelope.setAllotmentRequest(
                        new WireAllotmentRequest().setTeam(m.team()).setWantedUnits(m.wantedUnits()));
            case PeerMessage.AllotmentNotice m ->
                envelope.setAllotmentNotice(new WireAllotmentNotice()
                        .setTeam(m.team())
                        .setRevision(m.revision())
                        .setUnits(m.units()));
            case PeerMessage.ConfigurationUpdate m -> envelope.setConfigurationUpdate(configurationUpdate(m));
            case PeerMessage.SnapshotRequest m ->
                envelope.setSnapshotRequest(new WireSnapshotRequest().setRevision(m.revision()));
        };
    }

    private static WireHeartbeat heartbeat(PeerMessage.Heartbeat m) {
        List<WireTeamUsage> usages =
                m.usages().stream().map(WireWriter::teamUsage).toList();
        return new WireHeartbeat()
                .setSequence(m.sequence())
                .setRevision(m.revision())
                .setKnownRevision(m.knownRevision())
                .setAcknowledgedRevision(m.acknowledgedRevision())
                .setUsages(usages);
    }

    private static WireTeamUsage teamUsage(PeerMessage.TeamUsage usage) {
        return new WireTeamUsage()
                .setPool(usage.pool())
                .setTeam(usage.team())
                .setRunning(usage.running())
                .setWaiting(usage.waiting())
                .setUsedMs(usage.usedMs());
    }

    private static WireHeartbeatReply heartbeatReply(PeerMessage.HeartbeatReply m) {
        return new WireHeartbeatReply()
                .setSequence(m.sequence())
                .setPromised(m.promised())
                .setRevision(m.revision())
                .setKnownRevision(m.knownRevision())
                .setAcknowledgedRevision(m.acknowledgedRevision());
    }

    private static WireClaimRequest claimRequest(PeerMessage.ClaimRequest m) {
        return new WireClaimRequest()
                .setCorrelation(m.correlation())
                .setBucket(m.bucket())
                .setIdHigh(m.idHigh())
                .setIdLow(m.idLow())
                .setClaimTimeMs(m.claimTimeMs());
    }

    private static WireClaimReply claimReply(PeerMessage.ClaimReply m) {
        return new WireClaimReply()
                .setCorrelation(m.correlation())
                .setVerdict(m.verdict().ordinal());
    }

    private static WireClaimRelease claimRelease(PeerMessage.ClaimRelease m) {
        return new WireClaimRelease()
                .setCorrelation(m.correlation())
                .setBucket(m.bucket())
                .setIdHigh(m.idHigh())
                .setIdLow(m.idLow());
    }

    private static WireConfigurationUpdate configurationUpdate(PeerMessage.ConfigurationUpdate m) {
        List<WireRecordChange> changes =
                m.changes().stream().map(WireWriter::recordChange).toList();
        return new WireConfigurationUpdate()
                .setFromRevision(m.fromRevision())
                .setToRevision(m.toRevision())
                .setKnownRevision(m.knownRevision())
                .setChanges(changes);
    }

    private static WireRecordChange recordChange(PeerMessage.RecordChange change) {
        WireRecordChange wire = new WireRecordChange().setKey(change.key()).setModRevision(change.modRevision());
        change.value().ifPresent(wire::setValue);
        return wire;
    }
}
