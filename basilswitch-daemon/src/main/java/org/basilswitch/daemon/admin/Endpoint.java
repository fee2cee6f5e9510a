package org.basilswitch.daemon.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vertx.core.http.HttpMethod;
import org.basilswitch.administration.FleetStatus;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;

/**
 * An operation of the administration interface; the routes and the OpenAPI document are generated from {@link #all}.
 *
 * @param method HTTP method
 * @param path path with parameters in braces
 * @param action handler that serves it
 * @param summary one-line summary in the OpenAPI document
 * @param body type of the request body; empty if there is none
 * @param answer type of the response body
 */
record Endpoint(
        HttpMethod method, String path, Action action, String summary, Optional<Class<?>> body, Class<?> answer) {
    static final String ROOT = "/admin/v1";
    static final List<Class<? extends ConfigurationRecord>> KINDS =
            List.of(Pool.class, Host.class, Team.class, TeamKey.class, Queue.class, MaintenanceWave.class);

    /** The actions, each with a handler of its own. */
    enum Action {
        STATUS,
        AUDIT,
        OPERATION,
        LIST,
        READ,
        PUT,
        PATCH,
        DELETE
    }

    /** Returns whether the operation changes a record. */
    boolean isChange() {
        return action == Action.PUT || action == Action.PATCH || action == Action.DELETE;
    }

    /** Returns all operations except that of the OpenAPI document itself. */
    static List<Endpoint> all() {
        List<Endpoint> all = new ArrayList<>();
        all.add(read("/status", Action.STATUS, "The fleet at a glance", FleetStatus.class));
        all.add(read("/audit", Action.AUDIT, "Who changed what, newest first", AuditPage.class));
        all.add(read(
                "/operations/{operationId}", Action.OPERATION, "The result of an accepted change", ChangeAnswer.class));
        for (Class<? extends ConfigurationRecord> type : KINDS) {
            String kind = ConfigurationRecord.kind(type);
            String path = "/" + kind + "/{name}";
            all.add(read("/" + kind, Action.LIST, "All " + kind, RecordList.class));
            all.add(read(path, Action.READ, "One of the " + kind, RecordView.class));
            all.add(change(HttpMethod.PUT, path, Action.PUT, "Creates or replaces one", Optional.of(type)));
            all.add(change(HttpMethod.PATCH, path, Action.PATCH, "Changes single fields", Optional.of(type)));
            all.add(change(HttpMethod.DELETE, path, Action.DELETE, "Deletes or withdraws one", Optional.empty()));
        }
        return List.copyOf(all);
    }

    private static Endpoint read(String path, Action action, String summary, Class<?> answer) {
        return new Endpoint(HttpMethod.GET, ROOT + path, action, summary, Optional.empty(), answer);
    }

    private static Endpoint change(
            HttpMethod method, String path, Action action, String summary, Optional<Class<?>> body) {
        return new Endpoint(method, ROOT + path, action, summary, body, ChangeAnswer.class);
    }
}
