package org.basilswitch.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.basilswitch.store.PlatformStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests of decoding and indexing configuration records. */
public final class SiteConfigurationTest {
    private static final String PREFIX = "/basilswitch/test/config/";

    /** A record written by a newer version, with a field unknown here, is still read. */
    @Test
    public void unknownFieldsAreIgnored() {
        byte[] json = "{\"name\":\"depot\",\"shareWeight\":2,\"limitTasks\":9,\"later\":true}"
                .getBytes(StandardCharsets.UTF_8);
        PlatformStore.Entry entry = new PlatformStore.Entry(PREFIX + "teams/depot", json, 1, 1);
        assertEquals(SiteConfiguration.decode(PREFIX, entry).orElseThrow(), new Team("depot", 2, 9));
    }

    /** A key is found by its hash only. */
    @Test
    public void keysAreFoundByHash() {
        SiteConfiguration configuration = SiteConfiguration.of(3, List.of(new TeamKey("k1", "depot", "ab")));
        assertEquals(configuration.keyByHash("ab").orElseThrow().team(), "depot");
        assertTrue(configuration.keyByHash("cd").isEmpty());
    }
}
