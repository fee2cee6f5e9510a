package org.basilswitch.administration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.event.EventCode;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;

/**
 * Executes one change: reads the operation, the record and its guards, validates, commits, and reads the result back
 * when the response to the commit is lost.
 *
 * <p>The transaction requires that its operation id is unused, so it can safely be retried after a lost response.
 */
final class ChangeExecution {
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    private static final Duration VIEW_POLL_INTERVAL = Duration.ofMillis(5);

    private final AdministrationService.Dependencies dependencies;
    private final RetentionLease operations;
    private final RetentionLease audit;
    private final ChangeRequest request;
    private final CompletableFuture<ChangeResult> result = new CompletableFuture<>();
    private final long deadlineNanos;
    private final List<PlatformStore.Entry> guards = new ArrayList<>();
    private Optional<PlatformStore.Entry> target = Optional.empty();
    private boolean mayHaveCommitted;
    private boolean revisionMismatchSeen;

    private ChangeExecution(
            AdministrationService.Dependencies dependencies,
            AdministrationLimits limits,
            RetentionLease operations,
            RetentionLease audit,
            ChangeRequest request) {
        this.dependencies = dependencies;
        this.operations = operations;
        this.audit = audit;
        this.request = request;
        this.deadlineNanos =
                dependencies.clock().monotonicNanos() + limits.answerTime().toNanos();
    }

    static CompletionStage<ChangeResult> start(
            AdministrationService.Dependencies dependencies,
            AdministrationLimits limits,
            RetentionLease operations,
            RetentionLease audit,
            ChangeRequest request) {
        ChangeExecution execution = new ChangeExecution(dependencies, limits, operations, audit, request);
        execution.readOperation();
        return execution.result;
    }

    private void refuse(ChangeRefusal.Code code, String detail) {
        result.complete(
                mayHaveCommitted
                        ? new ChangeResult.Unknown(request.operationId(), detail)
                        : ChangeResult.Refused.of(code, detail));
    }

    /** Restarts the execution after a delay, or refuses the change when the deadline would pass before that. */
    private void retryOrRefuse(ChangeRefusal.Code code, String detail) {
        if (dependencies.clock().monotonicNanos() + RETRY_DELAY.toNanos() > deadlineNanos) {
            refuse(code, detail);
        } else {
            dependencies.scheduler().schedule(RETRY_DELAY, this::readOperation);
        }
    }

    private <T> void onSuccess(CompletionStage<Either<StoreError, T>> call, Consumer<T> action) {
        call.thenAccept(outcome -> outcome.fold(
                error -> {
                    retryOrRefuse(ChangeRefusal.Code.STORE_UNAVAILABLE, error.detail());
                    return null;
                },
                value -> {
                    action.accept(value);
                    return null;
                }));
    }

    private void readOperation() {
        onSuccess(
                dependencies.store().get(dependencies.keys().operation(request.operationId())),
                entry -> entry.flatMap(AdministrationService::decodeAccepted)
                        .ifPresentOrElse(this::replay, this::readTarget));
    }

    private void replay(ChangeResult.Accepted accepted) {
        boolean sameRequest = accepted.operation().fingerprint().equals(request.fingerprint());
        result.complete(
                sameRequest
                        ? accepted
                        : ChangeResult.Refused.of(
                                ChangeRefusal.Code.OPERATION_ID_REUSED,
                                "the id belongs to a change of "
                                        + accepted.operation().kind() + "/"
                                        + accepted.operation().name()));
    }

    private void readTarget() {
        onSuccess(dependencies.store().get(request.change().key().storeKey(dependencies.keys())), this::checkTarget);
    }

    private void checkTarget(Optional<PlatformStore.Entry> entry) {
        target = entry;
        long revision = entry.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
        if (revision != request.expectedRevision()) {
            refuseRevisionMismatch(revision);
            return;
        }
        Optional<ConfigurationRecord> before = currentRecord().map(VersionedRecord::record);
        resultingRecord(before)
                .peek(after -> readGuards(
                        before, after, new ArrayList<>(ChangeValidator.guardKeys(dependencies.keys(), before, after))))
                .peekLeft(refusal -> refuse(refusal.code(), refusal.detail()));
    }

    private Optional<VersionedRecord> currentRecord() {
        return target.flatMap(entry -> VersionedRecord.decode(request.change().key(), entry));
    }

    /**
     * Refuses because the record has another revision than expected.
     *
     * <p>Revisions never repeat, so an earlier transaction can't commit any more. It may, however, be what changed the
     * record. The operation is therefore read once more: when its id is still unused after the mismatch was seen, the
     * earlier transaction did not commit.
     */
    private void refuseRevisionMismatch(long revision) {
        if (mayHaveCommitted && !revisionMismatchSeen) {
            revisionMismatchSeen = true;
            readOperation();
            return;
        }
        boolean unknown = revision == Transaction.ABSENT && request.expectedRevision() != Transaction.ABSENT;
        ChangeRefusal.Code code = unknown ? ChangeRefusal.Code.RECORD_UNKNOWN : ChangeRefusal.Code.RECORD_CHANGED;
        String detail = request.change().key() + (unknown ? " does not exist" : " is at revision " + revision)
                + ", revision " + request.expectedRevision() + " was expected";
        result.complete(new ChangeResult.Refused(new ChangeRefusal(code, detail), currentRecord()));
    }

    private Either<ChangeRefusal, Optional<ConfigurationRecord>> resultingRecord(Optional<ConfigurationRecord> before) {
        return switch (request.change()) {
            case Change.Put put -> Either.right(Optional.of(put.record()));
            case Change.Delete delete
            when target.isEmpty() ->
                Either.left(new ChangeRefusal(ChangeRefusal.Code.RECORD_UNKNOWN, delete.key() + " does not exist"));
            case Change.Delete delete -> Either.right(Optional.empty());
            case Change.Patch patch ->
                before.map(record -> RecordReader.applyPatch(patch.key(), record, patch.patch())
                                .map(Optional::of))
                        .orElseGet(() -> Either.left(
                                new ChangeRefusal(ChangeRefusal.Code.RECORD_UNKNOWN, patch.key() + " does not exist")));
        };
    }

    private void readGuards(
            Optional<ConfigurationRecord> before, Optional<ConfigurationRecord> after, List<String> unread) {
        guards.clear();
        readNextGuard(before, after, unread);
    }

    private void readNextGuard(
            Optional<ConfigurationRecord> before, Optional<ConfigurationRecord> after, List<String> unread) {
        if (unread.isEmpty()) {
            checkView(before, after);
            return;
        }
        String key = unread.removeFirst();
        onSuccess(dependencies.store().get(key), entry -> {
            guards.add(entry.orElseGet(() -> new PlatformStore.Entry(key, new byte[0], 0, Transaction.ABSENT)));
            readNextGuard(before, after, unread);
        });
    }

    private void checkView(Optional<ConfigurationRecord> before, Optional<ConfigurationRecord> after) {
        long guardRevision = guards.stream()
                .mapToLong(PlatformStore.Entry::modRevision)
                .max()
                .orElse(0);
        long viewRevision = dependencies.view().get().revision();
        if (viewRevision < guardRevision) {
            awaitView(before, after, "view at " + viewRevision + ", store at " + guardRevision);
            return;
        }
        Optional<ChangeRefusal> refusal = after.map(
                        record -> ChangeValidator.checkPut(dependencies.view().get(), before, record))
                .orElseGet(() -> before.flatMap(record ->
                        ChangeValidator.checkDelete(dependencies.view().get(), record)));
        refusal.ifPresentOrElse(
                found -> refuse(found.code(), found.detail()),
                () -> onSuccess(
                        operations.current(),
                        operationLease -> onSuccess(
                                audit.current(), auditLease -> commit(before, after, operationLease, auditLease))));
    }

    private void awaitView(Optional<ConfigurationRecord> before, Optional<ConfigurationRecord> after, String detail) {
        if (dependencies.clock().monotonicNanos() > deadlineNanos) {
            refuse(ChangeRefusal.Code.VIEW_BEHIND, detail);
        } else {
            dependencies.scheduler().schedule(VIEW_POLL_INTERVAL, () -> checkView(before, after));
        }
    }

    private void commit(
            Optional<ConfigurationRecord> before,
            Optional<ConfigurationRecord> after,
            long operationLease,
            long auditLease) {
        ChangeTransaction transaction = ChangeTransaction.build(
                dependencies.keys(),
                request,
                before,
                after,
                guards,
                dependencies.clock().instant().toEpochMilli(),
                operationLease,
                auditLease);
        dependencies
                .store()
                .commit(transaction.transaction())
                .thenAccept(outcome -> outcome.fold(
                        error -> {
                            onCommitError(error);
                            return null;
                        },
                        commitResult -> {
                            onCommitResult(transaction, commitResult);
                            return null;
                        }));
    }

    private void onCommitError(StoreError error) {
        operations.invalidate();
        audit.invalidate();
        switch (error) {
            case StoreError.Refused refused -> retryOrRefuse(ChangeRefusal.Code.STORE_UNAVAILABLE, refused.detail());
            case StoreError.Unknown unknown -> {
                mayHaveCommitted = true;
                dependencies.telemetry().event(EventCode.CHANGE_READ_BACK, "operation=" + request.operationId());
                retryOrRefuse(ChangeRefusal.Code.STORE_UNAVAILABLE, unknown.detail());
            }
        }
    }

    private void onCommitResult(ChangeTransaction transaction, CommitResult commitResult) {
        switch (commitResult) {
            case CommitResult.Committed done ->
                result.complete(new ChangeResult.Accepted(transaction.operation(), done.revision()));
            case CommitResult.Conflict conflict
            when transaction.isKeyHashConflict(conflict) ->
                refuse(ChangeRefusal.Code.KEY_HASH_USED, "the hash is known already");
            case CommitResult.Conflict conflict ->
                retryOrRefuse(ChangeRefusal.Code.CONTENDED, "conflict at revision " + conflict.revision());
        }
    }
}
