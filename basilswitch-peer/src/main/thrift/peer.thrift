// Messages between entry hosts, in the compact protocol. Changes only add optional fields with new numbers, so that
// hosts of two versions interoperate.
namespace java org.basilswitch.peer.wire

struct WireTeamUsage {
  1: optional string pool
  2: optional string team
  3: optional i32 running
  4: optional i32 waiting
  5: optional i64 usedMs
}

struct WireHeartbeat {
  1: optional i64 sequence
  2: optional i64 revision
  3: optional i64 knownRevision
  4: optional i64 acknowledgedRevision
  5: optional list<WireTeamUsage> usages
}

struct WireHeartbeatReply {
  1: optional i64 sequence
  2: optional bool promised
  3: optional i64 revision
  4: optional i64 knownRevision
  5: optional i64 acknowledgedRevision
}

struct WireClaimRequest {
  1: optional i64 correlation
  2: optional i32 bucket
  3: optional i64 idHigh
  4: optional i64 idLow
  5: optional i64 claimTimeMs
}

struct WireClaimReply {
  1: optional i64 correlation
  2: optional i32 verdict
}

struct WireClaimRelease {
  1: optional i64 correlation
  2: optional i32 bucket
  3: optional i64 idHigh
  4: optional i64 idLow
}

struct WireAllotmentRequest {
  1: optional string team
  2: optional i32 wantedUnits
}

struct WireAllotmentNotice {
  1: optional string team
  2: optional i64 revision
  3: optional i32 units
}

struct WireRecordChange {
  1: optional string key
  2: optional binary value
  3: optional i64 modRevision
}

struct WireConfigurationUpdate {
  1: optional i64 fromRevision
  2: optional i64 toRevision
  3: optional i64 knownRevision
  4: optional list<WireRecordChange> changes
}

struct WireSnapshotRequest {
  1: optional i64 revision
}

// Exactly one field is set. A receiver that does not know the field ignores the message.
struct WireEnvelope {
  1: optional WireHeartbeat heartbeat
  2: optional WireHeartbeatReply heartbeatReply
  3: optional WireClaimRequest claimRequest
  4: optional WireClaimReply claimReply
  5: optional WireClaimRelease claimRelease
  6: optional WireAllotmentRequest allotmentRequest
  7: optional WireAllotmentNotice allotmentNotice
  8: optional WireConfigurationUpdate configurationUpdate
  9: optional WireSnapshotRequest snapshotRequest
}
