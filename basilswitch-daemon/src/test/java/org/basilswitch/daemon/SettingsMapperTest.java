package org.basilswitch.daemon;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.basilswitch.daemon.settings.Settings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the options mapped from the settings of the sites that the project ships. */
public final class SettingsMapperTest {
    private static final Path SITES = Path.of("..", "sites");

    /** Names of the sites. */
    @DataProvider
    public Object[][] sites() {
        return new Object[][] {{"fraser-fathom"}, {"canelones"}};
    }

    private static Settings load(String site) {
        return Settings.load(SITES.resolve("base.json"), List.of(SITES.resolve(site + ".json")))
                .getOrElseThrow(problems -> new AssertionError(problems.toString()));
    }

    /** Each entry host gets its own name, zone and addresses, and the site's limits. */
    @Test(dataProvider = "sites")
    public void entryHostsGetTheirOwnAddresses(String site) {
        Settings settings = load(site);
        assertTrue(settings.entryHosts().size() >= 3);
        for (Settings.EntryHostSettings host : settings.entryHosts()) {
            DaemonOptions options = SettingsMapper.daemon(settings, host);
            assertEquals(options.site(), site);
            assertEquals(options.node(), host.name());
            assertEquals(options.zone(), host.zone());
            assertEquals(options.callerListen().port(), host.callerAddress().port());
            assertEquals(
                    options.administrationListen().port(),
                    host.administrationAddress().port());
            assertEquals(options.peerListen().port(), host.peerAddress().port());
            assertTrue(options.callerListen().tls().isEmpty());
            assertEquals(
                    options.callerOptions().maxBodyBytes(), settings.limits().bodyLimitBytes());
            assertEquals(
                    options.callerOptions().maxHeaderBytes(), settings.limits().headerLimitBytes());
            assertEquals(
                    options.shutdownOptions().balancerWait(), settings.limits().balancerWait());
            assertEquals(
                    options.peerTiming().promiseTime(), settings.membership().promiseTime());
        }
    }

    /** The endpoints and timeouts of the store client come from the settings. */
    @Test
    public void storeOptionsComeFromSettings() {
        Settings settings = load("fraser-fathom");
        assertEquals(SettingsMapper.store(settings).endpoints(), List.of(URI.create("http://127.0.0.1:2379")));
        assertEquals(SettingsMapper.store(settings).callTimeout(), Duration.ofSeconds(1));
    }
}
