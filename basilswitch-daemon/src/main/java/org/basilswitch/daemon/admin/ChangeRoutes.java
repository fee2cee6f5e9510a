package org.basilswitch.daemon.admin;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vertx.ext.web.RoutingContext;
import org.basilswitch.administration.AdministrationService;
import org.basilswitch.administration.AuditLog;
import org.basilswitch.administration.Change;
import org.basilswitch.administration.ChangeRefusal;
import org.basilswitch.administration.ChangeRequest;
import org.basilswitch.administration.ChangeResult;
import org.basilswitch.administration.Operator;
import org.basilswitch.administration.RecordKey;
import org.basilswitch.administration.RecordReader;
import org.basilswitch.entry.EntryHost;

/** Handles changes of records and queries for their results. */
final class ChangeRoutes {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int GATEWAY_TIMEOUT = 504;
    /** How far back the change that caused a conflict is looked up in the audit log. */
    private static final int LAST_CHANGE_HOURS = 1;

    private final AdministrationService administrationService;
    private final AuditLog audit;
    private final EntryHost host;
    private final Duration inForceWait;

    private ChangeRoutes(
            AdministrationService administrationService, AuditLog audit, EntryHost host, Duration inForceWait) {
        this.administrationService = administrationService;
        this.audit = audit;
        this.host = host;
        this.inForceWait = inForceWait;
    }

    static ChangeRoutes create(
            AdministrationService administrationService, AuditLog audit, EntryHost host, Duration inForceWait) {
        return new ChangeRoutes(administrationService, audit, host, inForceWait);
    }

    void put(RoutingContext context) {
        RecordKey key = RouteContext.key(context);
        parseBody(context)
                .flatMap(json -> RecordReader.read(key, json))
                .peek(record -> submit(context, new Change.Put(record)))
                .peekLeft(refusal -> ResponseWriter.refused(context, refusal.code(), refusal.detail()));
    }

    void patch(RoutingContext context) {
        parseBody(context)
                .peek(json -> submit(context, new Change.Patch(RouteContext.key(context), json)))
                .peekLeft(refusal -> ResponseWriter.refused(context, refusal.code(), refusal.detail()));
    }

    void delete(RoutingContext context) {
        submit(context, new Change.Delete(RouteContext.key(context)));
    }

    private static Either<ChangeRefusal, JsonNode> parseBody(RoutingContext context) {
        try {
            JsonNode json = MAPPER.readTree(context.body().buffer().getBytes());
            if (json != null && json.isObject()) {
                return Either.right(json);
            }
            return Either.left(new ChangeRefusal(ChangeRefusal.Code.RECORD_INVALID, "the body is not a JSON object"));
        } catch (IOException e) {
            return Either.left(new ChangeRefusal(ChangeRefusal.Code.RECORD_INVALID, "the body is malformed JSON"));
        }
    }

    private void submit(RoutingContext context, Change change) {
        if (!host.servingLease().mayStartWork()) {
            ResponseWriter.refused(context, ChangeRefusal.Code.NO_MAJORITY, "the change was not made");
            return;
        }
        Operator operator = RouteContext.operator(context);
        ChangeHeaders.read(context.request())
                .peek(headers -> administrationService
                        .submit(new ChangeRequest(headers.operationId(), operator, change, headers.expectedRevision()))
                        .thenAccept(result -> answer(context, change.key(), result)))
                .peekLeft(problem -> ResponseWriter.problem(context, problem));
    }

    private void answer(RoutingContext context, RecordKey key, ChangeResult result) {
        switch (result) {
            case ChangeResult.Accepted accepted -> answerAccepted(context, accepted);
            case ChangeResult.Refused refused
            when refused.refusal().code() == ChangeRefusal.Code.RECORD_CHANGED -> answerChanged(context, key, refused);
            case ChangeResult.Refused refused ->
                ResponseWriter.refused(
                        context, refused.refusal().code(), refused.refusal().detail());
            case ChangeResult.Unknown unknown ->
                ResponseWriter.problem(
                        context,
                        Problem.of(
                                        GATEWAY_TIMEOUT,
                                        "unknown",
                                        unknown.detail(),
                                        "Ask again with the same operation id, " + unknown.operationId() + ".")
                                .withUnknownResult());
        }
    }

    private void answerAccepted(RoutingContext context, ChangeResult.Accepted accepted) {
        Duration wait = ChangeHeaders.inForceWait(context.request(), inForceWait);
        host.inForceMonitor().await(accepted.revision(), wait).thenAccept(state -> {
            context.response().putHeader("ETag", "\"" + accepted.revision() + "\"");
            ResponseWriter.json(context, state.inForce() ? OK : ACCEPTED, ChangeAnswer.of(accepted, state));
        });
    }

    private void answerChanged(RoutingContext context, RecordKey key, ChangeResult.Refused refused) {
        audit.readNewest(1, LAST_CHANGE_HOURS, Optional.of(key)).thenAccept(records -> {
            ChangeRefusal.Code code = refused.refusal().code();
            Problem problem = Problem.of(
                            code.status(), code.text(), refused.refusal().detail(), code.remedy())
                    .withCurrent(
                            refused.current().stream().map(ResponseWriter::view).toList(),
                            records.getOrElse(List.of()));
            ResponseWriter.problem(context, problem);
        });
    }

    void operation(RoutingContext context) {
        String id = context.pathParam("operationId");
        administrationService
                .find(id)
                .thenAccept(found -> found.fold(
                        error -> {
                            ResponseWriter.storeFailed(context, error);
                            return null;
                        },
                        accepted -> {
                            accepted.ifPresentOrElse(
                                    change -> answerAccepted(context, change),
                                    () -> ResponseWriter.problem(
                                            context,
                                            NOT_FOUND,
                                            "operation-unknown",
                                            "no change with the operation id " + id + " has been accepted",
                                            "Ask for the change again with the same operation id."));
                            return null;
                        }));
    }
}
