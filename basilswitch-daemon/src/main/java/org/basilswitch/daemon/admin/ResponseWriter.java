package org.basilswitch.daemon.admin;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import org.basilswitch.administration.ChangeRefusal;
import org.basilswitch.administration.RecordReader;
import org.basilswitch.administration.VersionedRecord;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.store.StoreError;

/** Writes responses as JSON and refusals as problem details (RFC 9457). */
final class ResponseWriter {
    private static final String PROBLEM = "application/problem+json";

    private ResponseWriter() {}

    static void json(RoutingContext context, int status, Object body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(Buffer.buffer(RecordCodec.encode(body)));
    }

    static RecordView view(VersionedRecord record) {
        return new RecordView(
                record.key().kind(), record.key().name(), record.revision(), RecordReader.toJsonTree(record.record()));
    }

    static void problem(RoutingContext context, Problem problem) {
        context.response()
                .setStatusCode(problem.status())
                .putHeader("Content-Type", PROBLEM)
                .end(Buffer.buffer(RecordCodec.encode(problem)));
    }

    static void problem(RoutingContext context, int status, String code, String detail, String remedy) {
        problem(context, Problem.of(status, code, detail, remedy));
    }

    static void refused(RoutingContext context, ChangeRefusal.Code code, String detail) {
        problem(context, code.status(), code.text(), detail, code.remedy());
    }

    static void storeFailed(RoutingContext context, StoreError error) {
        refused(context, ChangeRefusal.Code.STORE_UNAVAILABLE, error.detail());
    }
}
