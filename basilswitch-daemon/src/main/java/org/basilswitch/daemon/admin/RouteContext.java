package org.basilswitch.daemon.admin;

import io.vertx.ext.web.RoutingContext;
import org.basilswitch.administration.Operator;
import org.basilswitch.administration.RecordKey;

/** Reads and writes what the routes store in a request's context: the operator and the record's key. */
final class RouteContext {
    private static final String OPERATOR = "operator";
    private static final int KIND_SEGMENT = 3;

    private RouteContext() {}

    static void setOperator(RoutingContext context, Operator operator) {
        context.put(OPERATOR, operator);
    }

    static Operator operator(RoutingContext context) {
        return context.get(OPERATOR);
    }

    /** Returns the kind in the path {@code /admin/v1/{kind}}. */
    static String kind(RoutingContext context) {
        return context.normalizedPath().split("/")[KIND_SEGMENT];
    }

    static RecordKey key(RoutingContext context) {
        return new RecordKey(kind(context), context.pathParam("name"));
    }
}
