package org.basilswitch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests reading, merging and checking settings. */
public final class SettingsTest {
    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final Path BASE = ROOT.resolve("sites/base.json");

    /** Returns the shipped sites with their spare pool and the memory of their hosts. */
    @DataProvider
    public Object[][] sites() {
        return new Object[][] {{"fraser-fathom", "backoffice", 256L << 30}, {"canelones", "secretaría", 128L << 30}};
    }

    /** Each shipped site has the expected numbers of zones, entry hosts, pools, hosts, queues and teams. */
    @Test(dataProvider = "sites")
    public void shippedSitesHaveExpectedRecords(String site, String sparePool, long memoryBytes) {
        Settings settings = Settings.load(BASE, List.of(ROOT.resolve("sites/" + site + ".json")))
                .getOrElseThrow(problems -> new AssertionError(text(problems)));
        SiteConfiguration configuration = SiteConfiguration.of(1, settings.records());
        assertEquals(settings.topology().regionByZone().size(), 4);
        assertEquals(settings.entryHosts().size(), 6);
        assertEquals(configuration.queues().size(), 5);
        assertEquals(configuration.teams().size(), 6);
        assertEquals(configuration.pools().size(), 5);
        assertTrue(configuration.pools().get(sparePool).spare());
        for (Pool pool : configuration.pools().values()) {
            List<Host> hosts = configuration.hostsOf(pool.name());
            assertEquals(hosts.size(), 8, pool.name());
            assertEquals(hosts.stream().map(Host::rack).distinct().count(), 2);
            assertTrue(hosts.stream().allMatch(host -> host.slots() == 8 && host.connections() == 64));
            assertTrue(hosts.stream().allMatch(host -> host.memoryBytes() == memoryBytes));
        }
    }

    /** Ten different problems in one overlay are all reported at once, each with file, line, field and remedy. */
    @Test
    public void allTenProblemsAreReportedAtOnce() {
        String overlay = """
                {
                  "site": "Fraser Fathom",
                  "zones": { "burnaby": {}, "surrey": {} },
                  "racks": { "r1": { "zone": "delta" } },
                  "membership": { "promiseTimeMs": 600, "heartbeatIntervalMs": 500 },
                  "store": { "callTimeoutSec": 3 },
                  "limits": { "headerLimitBytes": 12, "shutdownGraceMs": "30 s" },
                  "pools": { "a": { "spare": true, "minAvailableHosts": 2 }, "b": { "spare": true } },
                  "hosts": { "h1": { "address": "localhost:80", "rack": "r1", "pool": "a" } },
                  "teams": { "t": { "shareWeight": 2 } }
                }
                """;
        String base = "{ \"store\": { \"endpoints\": [\"127.0.0.1:2379\"] } }";
        List<SettingsProblem> problems = Settings.parse(
                        List.of(new SettingsSource("base.json", base), new SettingsSource("site.json", overlay)))
                .getLeft();
        List<String> found = problems.stream()
                .map(problem -> problem.getClass().getSimpleName() + " "
                        + problem.location().file() + ":" + problem.location().line() + " " + problem.field())
                .sorted()
                .toList();
        assertEquals(
                found,
                List.of(
                        "Contradictory site.json:4 racks.r1.zone",
                        "Contradictory site.json:5 membership.heartbeatIntervalMs",
                        "Contradictory site.json:8 pools.a.minAvailableHosts",
                        "Contradictory site.json:8 pools.b.spare",
                        "Missing site.json:10 teams.t.limitTasks",
                        "OutOfRange site.json:2 site",
                        "OutOfRange site.json:7 limits.headerLimitBytes",
                        "OutOfRange site.json:9 hosts.h1.address",
                        "Unknown site.json:6 store.callTimeoutSec",
                        "WrongType site.json:7 limits.shutdownGraceMs"));
        assertTrue(problems.stream().noneMatch(problem -> problem.remedy().isBlank()));
    }

    /** An overlay changes single fields, removes with null, and is rejected if it has unknown fields. */
    @Test
    public void overlaysMergeFieldByField() {
        String base = """
                { // comment
                  "site": "s",
                  "store": { "endpoints": ["127.0.0.1:2379"], "callTimeoutMs": 700 },
                  "teams": { "a": { "limitTasks": 5, "shareWeight": 3 }, "b": { "limitTasks": 1 } },
                }
                """;
        Settings settings = parse(base, "{ \"teams\": { \"a\": { \"limitTasks\": 9 }, \"b\": null }, \"store\": {} }")
                .get();
        assertEquals(settings.store().callTimeout().toMillis(), 700);
        assertEquals(settings.records().toString(), "[Team[name=a, shareWeight=3, limitTasks=9]]");
        SettingsProblem problem = parse(base, "{ \"teams\": { \"a\": { \"limit\": 9 } } }")
                .getLeft()
                .get(0);
        assertEquals(
                problem.text(),
                "overlay:1:30: teams.a.limit: unknown field; remove it or use one of: shareWeight, limitTasks");
    }

    /** Malformed text, duplicate fields and unreadable files are reported as problems of their own types. */
    @Test
    public void unreadableMalformedAndDuplicateInputIsReported() {
        assertTrue(parse("{ \"site\": ", "{}").getLeft().get(0) instanceof SettingsProblem.Malformed);
        assertTrue(parse("[]", "{}").getLeft().get(0) instanceof SettingsProblem.Malformed);
        assertTrue(parse("{} {}", "{}").getLeft().get(0) instanceof SettingsProblem.Malformed);
        assertTrue(
                parse("{\"site\": \"a\", \"site\": \"b\"}", "{}").getLeft().get(0)
                        instanceof SettingsProblem.Duplicate);
        assertTrue(
                Settings.load(Path.of("missing.json"), List.of()).getLeft().get(0)
                        instanceof SettingsProblem.Unreadable);
    }

    /** Every field's name ends in its unit, every default is within its range, and docs/SETTINGS.md is current. */
    @Test
    public void schemaHasUnitSuffixesValidDefaultsAndCurrentPage() throws IOException {
        for (SettingsField field : SettingsSchema.fields()) {
            assertTrue(field.path().endsWith(field.unit().suffix()), field.path());
            field.defaultValue().ifPresent(value -> {
                SettingsNode node = new SettingsNode.Scalar(new SourceLocation("default", 1, 1), value);
                assertTrue(field.type().read(node).isPresent(), field.path());
            });
        }
        assertEquals(
                Files.readString(ROOT.resolve("docs/SETTINGS.md")),
                SettingsPage.render(),
                "regenerate it: ./basilswitch check --fields > docs/SETTINGS.md");
    }

    private static Either<List<SettingsProblem>, Settings> parse(String base, String overlay) {
        return Settings.parse(List.of(new SettingsSource("base", base), new SettingsSource("overlay", overlay)));
    }

    private static String text(List<SettingsProblem> problems) {
        return problems.stream().map(SettingsProblem::text).collect(Collectors.joining("\n"));
    }
}
