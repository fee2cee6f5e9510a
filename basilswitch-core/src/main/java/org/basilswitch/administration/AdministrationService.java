package org.basilswitch.administration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Carries out operators' changes of the configuration. Several entry hosts may do so concurrently. */
public final class AdministrationService {
    private final Dependencies dependencies;
    private final AdministrationLimits limits;
    private final RetentionLease operations;
    private final RetentionLease audit;

    private AdministrationService(Dependencies dependencies, AdministrationLimits limits) {
        this.dependencies = dependencies;
        this.limits = limits;
        this.operations = RetentionLease.create(dependencies.store, dependencies.clock, limits.operationRetention());
        this.audit = RetentionLease.create(dependencies.store, dependencies.clock, limits.auditRetention());
    }

    /** Collaborators of the service; {@code view} returns the entry host's current configuration. */
    public record Dependencies(
            StoreKeys keys,
            PlatformStore store,
            Supplier<SiteConfiguration> view,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry) {}

    /** Creates the service. */
    public static AdministrationService create(Dependencies dependencies, AdministrationLimits limits) {
        return new AdministrationService(dependencies, limits);
    }

    /**
     * Carries out a change. When a change with the same operation id was accepted before, returns that change's result.
     */
    public CompletionStage<ChangeResult> submit(ChangeRequest request) {
        OperatorRole requiredRole =
                ChangeValidator.requiredRole(request.change().key().kind());
        CompletionStage<ChangeResult> result = request.operator().role().includes(requiredRole)
                ? ChangeExecution.start(dependencies, limits, operations, audit, request)
                : CompletableFuture.completedFuture(ChangeResult.Refused.of(
                        ChangeRefusal.Code.ROLE_TOO_LOW,
                        request.change().key().kind() + " need the role " + requiredRole.text()));
        return result.thenApply(outcome -> report(request, outcome));
    }

    private ChangeResult report(ChangeRequest request, ChangeResult result) {
        String subject = "operation=" + request.operationId() + " operator="
                + request.operator().name() + " record=" + request.change().key();
        switch (result) {
            case ChangeResult.Accepted accepted -> {
                dependencies.telemetry.count(CounterCode.ADMINISTRATION_CHANGES, "accepted");
                dependencies.telemetry.event(EventCode.CHANGE_ACCEPTED, subject + " revision=" + accepted.revision());
            }
            case ChangeResult.Refused refused -> {
                dependencies.telemetry.count(
                        CounterCode.ADMINISTRATION_CHANGES,
                        refused.refusal().code().text());
                dependencies.telemetry.event(
                        EventCode.CHANGE_REFUSED,
                        subject + " code=" + refused.refusal().code().text() + " detail="
                                + refused.refusal().detail());
            }
            case ChangeResult.Unknown unknown -> {
                dependencies.telemetry.count(CounterCode.ADMINISTRATION_CHANGES, "unknown");
                dependencies.telemetry.event(EventCode.CHANGE_UNKNOWN, subject + " detail=" + unknown.detail());
            }
        }
        return result;
    }

    /** Finds the result of an accepted change; the right side is empty when no change with this id is known. */
    public CompletionStage<Either<StoreError, Optional<ChangeResult.Accepted>>> find(String operationId) {
        return dependencies
                .store
                .get(dependencies.keys.operation(operationId))
                .thenApply(result -> result.map(entry -> entry.flatMap(AdministrationService::decodeAccepted)));
    }

    static Optional<ChangeResult.Accepted> decodeAccepted(PlatformStore.Entry entry) {
        return RecordCodec.decode(entry.value(), OperationRecord.class)
                .map(operation -> new ChangeResult.Accepted(operation, entry.modRevision()));
    }

    /** Reads a record and its revision directly from the store. */
    public CompletionStage<Either<StoreError, Optional<VersionedRecord>>> read(RecordKey key) {
        return dependencies
                .store
                .get(key.storeKey(dependencies.keys))
                .thenApply(result -> result.map(entry -> entry.flatMap(found -> VersionedRecord.decode(key, found))));
    }

    /** Reads all records of a kind and their revisions directly from the store. */
    public CompletionStage<Either<StoreError, java.util.List<VersionedRecord>>> list(String kind) {
        String prefix = dependencies.keys.configuration(kind, "");
        return dependencies
                .store
                .range(prefix)
                .thenApply(result -> result.map(range -> range.entries().stream()
                        .flatMap(entry ->
                                VersionedRecord.decode(
                                        new RecordKey(kind, entry.key().substring(prefix.length())), entry)
                                        .stream())
                        .toList()));
    }
}
