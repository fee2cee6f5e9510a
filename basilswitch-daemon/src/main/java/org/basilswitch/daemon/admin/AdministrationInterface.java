package org.basilswitch.daemon.admin;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.basilswitch.administration.AdministrationService;
import org.basilswitch.administration.AuditLog;
import org.basilswitch.administration.Operator;
import org.basilswitch.daemon.AdministrationRoutes;
import org.basilswitch.event.EventCode;
import org.basilswitch.store.StoreKeys;

/** Serves {@code /admin/v1} on the administration port. */
public final class AdministrationInterface implements AdministrationRoutes {
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int BODY_TOO_LARGE = 413;
    private static final int INTERNAL_ERROR = 500;

    private final AdministrationOptions options;

    private AdministrationInterface(AdministrationOptions options) {
        this.options = options;
    }

    /** Creates the interface without routes; {@link #mount} adds them to a router. */
    public static AdministrationInterface create(AdministrationOptions options) {
        return new AdministrationInterface(options);
    }

    @Override
    public void mount(Router router, Dependencies dependencies) {
        StoreKeys keys = new StoreKeys(dependencies.options().site());
        AdministrationService administrationService = AdministrationService.create(
                new AdministrationService.Dependencies(
                        keys,
                        dependencies.store(),
                        dependencies.host()::configuration,
                        dependencies.clock(),
                        dependencies.scheduler(),
                        dependencies.telemetry()),
                options.administration().limits());
        AuditLog audit = AuditLog.create(keys, dependencies.store(), dependencies.clock());
        ChangeRoutes changes = ChangeRoutes.create(
                administrationService,
                audit,
                dependencies.host(),
                options.administration().inForceWait());
        ReadRoutes reads = ReadRoutes.create(administrationService, audit, dependencies.host(), keys.site());

        ObjectNode page = OpenApi.createDocument();
        router.get(Endpoint.ROOT + "/openapi.json").handler(context -> ResponseWriter.json(context, OK, page));
        OperatorKeys operators = OperatorKeys.of(options.operators());
        router.route(Endpoint.ROOT + "/*").handler(context -> authenticate(context, operators, dependencies));
        router.route(Endpoint.ROOT + "/*")
                .handler(BodyHandler.create(false).setBodyLimit(options.bodyLimitBytes()))
                .failureHandler(AdministrationInterface::handleFailure);
        for (Endpoint endpoint : Endpoint.all()) {
            String path = endpoint.path().replace("{", ":").replace("}", "");
            router.route(endpoint.method(), path).handler(context -> handle(context, endpoint, changes, reads));
        }
        router.route(Endpoint.ROOT + "/*").handler(AdministrationInterface::handleUnknownPath);
    }

    private static void authenticate(RoutingContext context, OperatorKeys operators, Dependencies dependencies) {
        Optional<Operator> operator = operators.find(context.request().getHeader("Authorization"));
        if (operator.isPresent()) {
            RouteContext.setOperator(context, operator.get());
            context.next();
            return;
        }
        dependencies
                .telemetry()
                .event(
                        EventCode.OPERATOR_REFUSED,
                        "address=" + context.request().remoteAddress().host() + " path=" + context.normalizedPath());
        context.response().putHeader("WWW-Authenticate", "Bearer");
        ResponseWriter.problem(
                context,
                UNAUTHORIZED,
                "operator-unknown",
                "the operator key is missing or unknown",
                "Send your operator key as bearer token; operators are listed in the settings.");
    }

    private static void handle(RoutingContext context, Endpoint endpoint, ChangeRoutes changes, ReadRoutes reads) {
        switch (endpoint.action()) {
            case STATUS -> reads.status(context);
            case AUDIT -> reads.audit(context);
            case OPERATION -> changes.operation(context);
            case LIST -> reads.list(context);
            case READ -> reads.record(context);
            case PUT -> changes.put(context);
            case PATCH -> changes.patch(context);
            case DELETE -> changes.delete(context);
        }
    }

    private static void handleUnknownPath(RoutingContext context) {
        boolean known = Endpoint.all().stream()
                .anyMatch(endpoint ->
                        context.normalizedPath().matches(endpoint.path().replaceAll("\\{[^}]+}", "[^/]+")));
        HttpMethod method = context.request().method();
        ResponseWriter.problem(
                context,
                known ? METHOD_NOT_ALLOWED : NOT_FOUND,
                known ? "method-not-allowed" : "path-unknown",
                method + " " + context.normalizedPath() + " is not an operation",
                "See " + Endpoint.ROOT + "/openapi.json for all operations.");
    }

    private static void handleFailure(RoutingContext context) {
        if (context.statusCode() == BODY_TOO_LARGE) {
            ResponseWriter.problem(
                    context,
                    BODY_TOO_LARGE,
                    "body-too-large",
                    "the body is over the limit",
                    "Send a smaller record; limits.administrationBodyLimitBytes is the bound.");
        } else {
            ResponseWriter.problem(
                    context,
                    INTERNAL_ERROR,
                    "internal",
                    "the request failed inside the entry host",
                    "Ask again with the same operation id, and report this as a defect.");
        }
    }
}
