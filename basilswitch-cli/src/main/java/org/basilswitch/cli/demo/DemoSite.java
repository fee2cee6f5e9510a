package org.basilswitch.cli.demo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.settings.SettingsSource;

/** The shipped settings of a site, with a key for each team. */
final class DemoSite {
    private static final String FOLDER = "/sites/";
    private static final String KEY_PREFIX = "demo-key-of-";

    private final Settings settings;

    private DemoSite(Settings settings) {
        this.settings = settings;
    }

    /** Loads the settings of a site by its name, such as {@code canelones}. */
    static DemoSite load(String site) throws IOException {
        List<SettingsSource> sources = List.of(source("base"), source(site));
        return new DemoSite(Settings.parse(sources)
                .getOrElseThrow(problems -> new IOException("the shipped settings are invalid: " + problems)));
    }

    private static SettingsSource source(String name) throws IOException {
        String path = FOLDER + name + ".json";
        try (InputStream stream = DemoSite.class.getResourceAsStream(path)) {
            if (stream == null) {
                throw new IOException("no site " + name + ": use fraser-fathom or canelones");
            }
            return new SettingsSource(path, new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    String name() {
        return settings.site();
    }

    List<Settings.EntryHostSettings> entryHosts() {
        return settings.entryHosts();
    }

    List<Team> teams() {
        return ofType(Team.class);
    }

    List<Queue> queues() {
        return ofType(Queue.class);
    }

    List<Host> hosts() {
        return ofType(Host.class);
    }

    private <T extends ConfigurationRecord> List<T> ofType(Class<T> type) {
        return settings.records().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    Map<String, Integer> limits() {
        Map<String, Integer> limits = new TreeMap<>();
        teams().forEach(team -> limits.put(team.name(), team.limitTasks()));
        return limits;
    }

    /** Returns the secret of a team's key in the demo. */
    static String secret(Team team) {
        return DemoKeys.secret(KEY_PREFIX, team);
    }

    /** Returns the site's records with the addresses of the started workers, and the records of the teams' keys. */
    List<ConfigurationRecord> records(Map<String, String> addressByHost) {
        List<ConfigurationRecord> records = new ArrayList<>();
        for (ConfigurationRecord record : settings.records()) {
            records.add(record instanceof Host host ? withAddress(host, addressByHost.get(host.name())) : record);
        }
        teams().forEach(team -> records.add(DemoKeys.record(KEY_PREFIX, team)));
        return records;
    }

    private static Host withAddress(Host host, String address) {
        return new Host(
                host.name(),
                address,
                host.zone(),
                host.rack(),
                host.pool(),
                host.state(),
                host.slots(),
                host.connections(),
                host.processors(),
                host.memoryBytes(),
                host.accelerators());
    }
}
