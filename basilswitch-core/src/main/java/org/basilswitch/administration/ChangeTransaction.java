package org.basilswitch.administration;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Optional;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/**
 * The transaction of a change, which writes the record, the operation's result, the audit record and the guards.
 *
 * @param transaction comparisons and writes
 * @param operation result of the operation, as written by the transaction
 * @param keyHashCompareIndex index of the comparison that requires a new key's hash to be unused; -1 without one
 */
record ChangeTransaction(Transaction transaction, OperationRecord operation, int keyHashCompareIndex) {
    private static final DateTimeFormatter HOUR =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH").withZone(ZoneOffset.UTC);
    private static final byte[] WITHDRAWN = "withdrawn".getBytes(StandardCharsets.UTF_8);

    static ChangeTransaction build(
            StoreKeys keys,
            ChangeRequest request,
            Optional<ConfigurationRecord> before,
            Optional<ConfigurationRecord> after,
            List<PlatformStore.Entry> guards,
            long atMs,
            long operationLease,
            long auditLease) {
        RecordKey key = request.change().key();
        OperationRecord operation = operationRecord(request, before, after, atMs);
        Transaction.Builder builder = Transaction.builder()
                .compare(keys.operation(request.operationId()), Transaction.ABSENT)
                .compare(key.storeKey(keys), request.expectedRevision());
        guards.forEach(guard -> builder.compare(guard.key(), guard.modRevision())
                .put(guard.key(), request.operationId().getBytes(StandardCharsets.UTF_8)));
        after.ifPresentOrElse(
                record -> builder.put(key.storeKey(keys), RecordCodec.encode(record)),
                () -> builder.delete(key.storeKey(keys)));
        builder.put(keys.operation(request.operationId()), RecordCodec.encode(operation), operationLease);
        builder.put(
                auditKey(keys, atMs, request.operationId()),
                RecordCodec.encode(auditRecord(operation, before, after)),
                auditLease);
        boolean hashAdded = addKeyHashWrites(keys, builder, keyHash(before), keyHash(after), key.name());
        Transaction transaction = builder.build();
        return new ChangeTransaction(
                transaction, operation, hashAdded ? transaction.compares().size() - 1 : -1);
    }

    private static OperationRecord operationRecord(
            ChangeRequest request,
            Optional<ConfigurationRecord> before,
            Optional<ConfigurationRecord> after,
            long atMs) {
        OperationRecord.Action changed =
                after.isPresent() ? OperationRecord.Action.CHANGED : OperationRecord.Action.DELETED;
        RecordKey key = request.change().key();
        return new OperationRecord(
                request.operationId(),
                request.operator().name(),
                request.fingerprint(),
                key.kind(),
                key.name(),
                before.isPresent() ? changed : OperationRecord.Action.CREATED,
                atMs);
    }

    private static AuditRecord auditRecord(
            OperationRecord operation, Optional<ConfigurationRecord> before, Optional<ConfigurationRecord> after) {
        return new AuditRecord(
                operation.operationId(),
                operation.operator(),
                operation.atMs(),
                operation.action(),
                operation.kind(),
                operation.name(),
                RecordReader.toJsonTree(before.orElse(null)),
                RecordReader.toJsonTree(after.orElse(null)));
    }

    /** Returns the key prefix of the audit records of the hour that contains a time. */
    static String auditHourPrefix(StoreKeys keys, long atMs) {
        return keys.audit() + HOUR.format(Instant.ofEpochMilli(atMs)) + "/";
    }

    private static String auditKey(StoreKeys keys, long atMs, String operationId) {
        return auditHourPrefix(keys, atMs) + String.format("%013d-", atMs) + operationId;
    }

    private static Optional<String> keyHash(Optional<ConfigurationRecord> record) {
        return record.filter(TeamKey.class::isInstance).map(TeamKey.class::cast).map(TeamKey::sha256Hex);
    }

    /** Marks a removed hash as withdrawn and requires that an added one is unused; returns whether one is added. */
    private static boolean addKeyHashWrites(
            StoreKeys keys, Transaction.Builder builder, Optional<String> before, Optional<String> after, String name) {
        if (before.equals(after)) {
            return false;
        }
        before.ifPresent(hash -> builder.put(keys.keyHash(hash), WITHDRAWN));
        after.ifPresent(hash -> builder.compare(keys.keyHash(hash), Transaction.ABSENT)
                .put(keys.keyHash(hash), name.getBytes(StandardCharsets.UTF_8)));
        return after.isPresent();
    }

    /** Returns whether the transaction failed because the new key's hash was used before. */
    boolean isKeyHashConflict(CommitResult.Conflict conflict) {
        return keyHashCompareIndex >= 0
                && conflict.current().get(0).isEmpty()
                && conflict.current().get(keyHashCompareIndex).isPresent();
    }
}
