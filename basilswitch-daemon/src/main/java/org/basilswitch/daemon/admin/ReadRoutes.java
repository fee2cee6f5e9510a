package org.basilswitch.daemon.admin;

import java.util.Optional;
import java.util.regex.Pattern;

import io.vertx.ext.web.RoutingContext;
import org.basilswitch.administration.AdministrationService;
import org.basilswitch.administration.AuditLog;
import org.basilswitch.administration.ChangeRefusal;
import org.basilswitch.administration.FleetStatus;
import org.basilswitch.administration.RecordKey;
import org.basilswitch.entry.EntryHost;

/** Handles reads of records, the fleet status and the audit log. */
final class ReadRoutes {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int MAX_AUDIT_RECORDS = 1_000;
    private static final int MAX_AUDIT_HOURS = 336;
    private static final int DEFAULT_AUDIT_RECORDS = 100;
    private static final int DEFAULT_AUDIT_HOURS = 24;
    private static final Pattern RECORD = Pattern.compile("([a-z]+)/(.+)");

    private final AdministrationService administrationService;
    private final AuditLog audit;
    private final EntryHost host;
    private final String site;

    private ReadRoutes(AdministrationService administrationService, AuditLog audit, EntryHost host, String site) {
        this.administrationService = administrationService;
        this.audit = audit;
        this.host = host;
        this.site = site;
    }

    static ReadRoutes create(AdministrationService administrationService, AuditLog audit, EntryHost host, String site) {
        return new ReadRoutes(administrationService, audit, host, site);
    }

    void list(RoutingContext context) {
        String kind = RouteContext.kind(context);
        administrationService
                .list(kind)
                .thenAccept(result -> result.peek(records -> ResponseWriter.json(
                                context,
                                OK,
                                new RecordList(records.stream()
                                        .map(ResponseWriter::view)
                                        .toList())))
                        .peekLeft(error -> ResponseWriter.storeFailed(context, error)));
    }

    void record(RoutingContext context) {
        RecordKey key = RouteContext.key(context);
        administrationService
                .read(key)
                .thenAccept(result -> result.peek(found -> found.ifPresentOrElse(
                                record -> {
                                    context.response().putHeader("ETag", "\"" + record.revision() + "\"");
                                    ResponseWriter.json(context, OK, ResponseWriter.view(record));
                                },
                                () -> ResponseWriter.refused(
                                        context, ChangeRefusal.Code.RECORD_UNKNOWN, key + " does not exist")))
                        .peekLeft(error -> ResponseWriter.storeFailed(context, error)));
    }

    void status(RoutingContext context) {
        FleetStatus status = FleetStatus.of(
                site, host.self(), host.isReady(), host.broker().openRequests(), host.members(), host.configuration());
        ResponseWriter.json(context, OK, status);
    }

    void audit(RoutingContext context) {
        Optional<Integer> limit = queryNumber(context, "limit", DEFAULT_AUDIT_RECORDS, MAX_AUDIT_RECORDS);
        Optional<Integer> hours = queryNumber(context, "hours", DEFAULT_AUDIT_HOURS, MAX_AUDIT_HOURS);
        Optional<String> recordParameter = Optional.ofNullable(context.request().getParam("record"));
        Optional<RecordKey> key = recordParameter
                .map(RECORD::matcher)
                .filter(matcher -> matcher.matches())
                .map(matcher -> new RecordKey(matcher.group(1), matcher.group(2)));
        if (limit.isEmpty() || hours.isEmpty() || recordParameter.isPresent() && key.isEmpty()) {
            ResponseWriter.problem(
                    context,
                    BAD_REQUEST,
                    "query-invalid",
                    "limit, hours or record is malformed or out of range",
                    "Write limit from 1 to " + MAX_AUDIT_RECORDS + ", hours from 1 to " + MAX_AUDIT_HOURS
                            + " and record as kind/name.");
            return;
        }
        audit.readNewest(limit.get(), hours.get(), key)
                .thenAccept(result -> result.peek(records -> ResponseWriter.json(context, OK, new AuditPage(records)))
                        .peekLeft(error -> ResponseWriter.storeFailed(context, error)));
    }

    private static Optional<Integer> queryNumber(RoutingContext context, String name, int defaultValue, int max) {
        String text = context.request().getParam(name);
        if (text == null) {
            return Optional.of(defaultValue);
        }
        try {
            return Optional.of(Integer.parseInt(text)).filter(value -> value >= 1 && value <= max);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
