package org.basilswitch.daemon.admin;

import java.net.http.HttpRequest;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.ext.web.Router;
import org.basilswitch.daemon.AdministrationRoutes;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.admin.AdministrationFixture.Response;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.entry.EntryHostOptions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@code /admin/v1} over HTTP. */
public final class AdministrationInterfaceTest {
    private AdministrationFixture site;

    /** Starts the entry host. */
    @BeforeClass
    public void start() {
        site = AdministrationFixture.start();
    }

    /** Stops the entry host. */
    @AfterClass
    public void stop() {
        site.close();
    }

    /** A team is created, read, changed and deleted; the response to the creation names the entry hosts that apply it. */
    @Test
    public void recordIsCreatedReadChangedAndDeleted() {
        Response created = site.change("PUT", "teams/depot", "life-create", 0, "{\"limitTasks\": 5}");
        assertEquals(created.status(), 200, created.toString());
        assertEquals(created.body().path("result").textValue(), "in-force");
        assertEquals(created.body().path("inForceAt").toString(), "[\"entry-1\"]");
        Response read = site.get("teams/depot");
        assertEquals(read.body().path("record").toString(), "{\"name\":\"depot\",\"shareWeight\":1,\"limitTasks\":5}");
        assertEquals(read.etag().orElseThrow(), "\"" + created.revision() + "\"");
        Response changed = site.change("PATCH", "teams/depot", "life-change", read.revision(), "{\"limitTasks\": 7}");
        assertEquals(changed.body().path("action").textValue(), "CHANGED");
        assertEquals(site.get("teams").body().path("items").size() > 0, true);
        Response deleted = site.change("DELETE", "teams/depot", "life-delete", changed.revision(), "");
        assertEquals(deleted.body().path("action").textValue(), "DELETED");
        assertEquals(site.get("teams/depot").status(), 404);
    }

    /** The second of two changes from the same revision is refused with the current record and the first change. */
    @Test
    public void conflictingChangeReturnsCurrentRecordAndLastChange() {
        long revision = site.change("PUT", "teams/raced", "race-create", 0, "{\"limitTasks\": 5}")
                .revision();
        site.change("PATCH", "teams/raced", "race-first", revision, "{\"limitTasks\": 6}");
        Response second = site.change("PATCH", "teams/raced", "race-second", revision, "{\"limitTasks\": 7}");
        assertEquals(second.status(), 409);
        assertEquals(second.body().path("code").textValue(), "record-changed");
        assertEquals(second.body().at("/current/0/record/limitTasks").intValue(), 6);
        assertEquals(second.body().at("/lastChange/0/operator").textValue(), "ada");
        assertEquals(second.body().at("/lastChange/0/before/limitTasks").intValue(), 5);
    }

    /** Repeating a change or querying its operation id returns the first result; the id can't be used for another change. */
    @Test
    public void repeatedOperationIdReturnsFirstResult() {
        Response first = site.change("PUT", "teams/again", "again-create", 0, "{\"limitTasks\": 5}");
        Response second = site.change("PUT", "teams/again", "again-create", 0, "{\"limitTasks\": 5}");
        assertEquals(second.body(), first.body());
        assertEquals(site.get("operations/again-create").body(), first.body());
        assertEquals(site.get("operations/never-asked").status(), 404);
        assertEquals(
                site.change("PUT", "teams/again", "again-create", 0, "{\"limitTasks\": 6}")
                        .body()
                        .path("code")
                        .textValue(),
                "operation-id-reused");
    }

    /** A record whose name has an accent is created and read by its percent-encoded path. */
    @Test
    public void accentedNameWorksInPath() {
        assertEquals(
                site.change("PUT", "pools/secretaría", "accent-create", 0, "{\"minAvailableHosts\": 0}")
                        .status(),
                200);
        assertEquals(site.get("pools/secretaría").body().path("name").textValue(), "secretaría");
    }

    /** An unknown operator key gets 401, and a change by a viewer 403. */
    @Test
    public void unknownKeyAndInsufficientRoleAreRefused() {
        assertEquals(site.send(site.request("/admin/v1/status", "wrong")).status(), 401);
        assertEquals(
                site.send(site.request("/admin/v1/status", AdministrationFixture.VIEWER))
                        .status(),
                200);
        Response refused = site.send(site.request("/admin/v1/teams/x", AdministrationFixture.VIEWER)
                .header(ChangeHeaders.OPERATION_ID, "viewer-1")
                .header("If-None-Match", "*")
                .PUT(HttpRequest.BodyPublishers.ofString("{\"limitTasks\": 1}")));
        assertEquals(refused.status(), 403);
    }

    /** Each kind of malformed request is refused with its own status. */
    @Test
    public void malformedRequestsAreRefused() {
        assertEquals(site.change("PUT", "teams/bad", "bad-body-1", 0, "{").status(), 422);
        assertEquals(
                site.change("PUT", "teams/bad", "bad-body-2", 0, "{\"limit\": 1}")
                        .status(),
                422);
        assertEquals(
                site.change("PUT", "teams/bad", "bad-body-3", 0, "{\"limitTasks\": -1}")
                        .status(),
                422);
        assertEquals(
                site.change("PUT", "teams/bad", "short", 0, "{\"limitTasks\": 1}")
                        .status(),
                400);
        String large = "{\"limitTasks\": 1, \"x\": \"" + "x".repeat(AdministrationFixture.BODY_LIMIT_BYTES) + "\"}";
        assertEquals(site.change("PUT", "teams/bad", "bad-body-4", 0, large).status(), 413);
        HttpRequest.Builder unconditional = site.request("/admin/v1/teams/bad", AdministrationFixture.ADMINISTRATOR)
                .header(ChangeHeaders.OPERATION_ID, "bad-revision")
                .PUT(HttpRequest.BodyPublishers.ofString("{\"limitTasks\": 1}"));
        assertEquals(site.send(unconditional).status(), 428);
        assertEquals(site.get("nonsense").status(), 404);
        assertEquals(site.change("DELETE", "teams", "bad-method-1", 0, "").status(), 405);
        assertEquals(site.get("audit?limit=0").status(), 400);
        assertEquals(site.get("teams/bad").status(), 404);
    }

    /** The status and the audit log show a created team. */
    @Test
    public void statusAndAuditShowChanges() {
        site.change("PUT", "teams/seen", "seen-create", 0, "{\"limitTasks\": 5, \"shareWeight\": 3}");
        JsonNode status = site.get("status").body();
        assertEquals(status.path("site").textValue(), "test");
        assertTrue(status.path("ready").booleanValue());
        assertEquals(status.at("/entryHosts/0/name").textValue(), "entry-1");
        assertTrue(status.path("teams").findValuesAsText("name").contains("seen"));
        JsonNode audit = site.get("audit?record=teams/seen").body();
        assertEquals(audit.at("/items/0/operationId").textValue(), "seen-create");
        assertEquals(audit.path("items").size(), 1);
    }

    /** Every operation of the OpenAPI document is served, and every route is documented. */
    @Test
    public void openApiDocumentMatchesRoutes() {
        JsonNode paths =
                site.send(site.request("/admin/v1/openapi.json", "")).body().path("paths");
        Set<String> documented = new TreeSet<>();
        paths.properties()
                .forEach(path -> path.getValue().fieldNames().forEachRemaining(method -> {
                    documented.add(method.toUpperCase(java.util.Locale.ROOT) + " " + path.getKey());
                    String concrete = path.getKey().replaceAll("\\{[^}]+}", "n").substring("/admin/v1/".length());
                    Response answer = method.equals("get")
                            ? site.get(concrete)
                            : site.change(method.toUpperCase(java.util.Locale.ROOT), concrete, "openapi-1", 1, "{}");
                    assertNotEquals(answer.body().path("code").textValue(), "path-unknown", concrete);
                    assertNotEquals(answer.status(), 405, method + " " + concrete);
                }));
        assertEquals(documented, routes());
        assertEquals(documented.size(), Endpoint.all().size());
    }

    private Set<String> routes() {
        SimulatedTime time = SimulatedTime.create();
        MemoryStoreClient store = MemoryStoreClient.create(MemoryStore.create(time, time), time, null);
        Member self = new Member(new MemberId("m"), "entry-1", "127.0.0.1:1", "z");
        EntryHostOptions options = new EntryHostOptions(
                "test", self, java.time.Duration.ofSeconds(2), java.time.Duration.ofMillis(300), 0.01);
        EntryHost host = EntryHost.create(options, time, time, null, store, (to, message) -> {}, Telemetry.none());
        Router router = Router.router(site.vertx);
        AdministrationInterface.create(AdministrationFixture.options())
                .mount(
                        router,
                        new AdministrationRoutes.Dependencies(
                                site.vertx,
                                host,
                                store,
                                time,
                                time,
                                Telemetry.none(),
                                DaemonOptions.loopback("test", "entry-1", "z")));
        Set<String> served = new TreeSet<>();
        router.getRoutes().stream()
                .filter(route -> route.methods() != null)
                .filter(route -> !route.getPath().endsWith("openapi.json"))
                .forEach(route -> route.methods()
                        .forEach(method ->
                                served.add(method.name() + " " + route.getPath().replaceAll(":([A-Za-z]+)", "{$1}"))));
        return served;
    }
}
