package org.basilswitch.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.store.PlatformStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests decoding and indexing of configuration records. */
public final class SiteConfigurationTest {
    private static final String PREFIX = "/basilswitch/test/config/";

    /** A record written by a newer software version may have fields that this version does not know. */
    @Test
    public void unknownFieldsAreIgnored() {
        byte[] json = "{\"name\":\"depot\",\"shareWeight\":2,\"limitTasks\":9,\"later\":true}"
                .getBytes(StandardCharsets.UTF_8);
        PlatformStore.Entry entry = new PlatformStore.Entry(PREFIX + "teams/depot", json, 1, 1);
        assertEquals(SiteConfiguration.decode(PREFIX, entry).orElseThrow(), new Team("depot", 2, 9));
    }

    @Test
    public void keyIsFoundByHashOnly() {
        SiteConfiguration configuration = SiteConfiguration.of(3, List.of(new TeamKey("k1", "depot", "ab")));
        assertEquals(configuration.keyByHash("ab").orElseThrow().team(), "depot");
        assertTrue(configuration.keyByHash("cd").isEmpty());
    }

    /** Guards against a builder that loses or duplicates records when one view is derived from another many times. */
    @Test
    public void incrementalViewEqualsViewBuiltFromAllRecords() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        Map<String, Host> records = new HashMap<>();
        SiteConfiguration changed = SiteConfiguration.empty();
        for (int step = 1; step <= 2_000; step++) {
            String name = "host-" + random.nextInt(40);
            if (random.nextInt(4) == 0) {
                records.remove(name);
                changed = changed.toBuilder().remove("hosts", name).build(step);
            } else {
                Host host = host(name, "pool-" + random.nextInt(3), random.nextInt(9));
                records.put(name, host);
                changed = changed.toBuilder().put(host).build(step);
            }
            SiteConfiguration built = SiteConfiguration.of(step, records.values());
            assertEquals(changed.hosts(), built.hosts());
            for (int pool = 0; pool < 3; pool++) {
                assertEquals(changed.hostsOf("pool-" + pool), built.hostsOf("pool-" + pool));
            }
        }
    }

    /** The hash index of a new view must not keep a replaced hash, and the old view must keep it. */
    @Test
    public void replacedKeyIsNotFoundByOldHash() {
        SiteConfiguration before = SiteConfiguration.of(1, List.of(new TeamKey("k1", "depot", "ab")));
        SiteConfiguration after =
                before.toBuilder().put(new TeamKey("k1", "depot", "cd")).build(2);
        assertTrue(after.keyByHash("ab").isEmpty());
        assertEquals(after.keyByHash("cd").orElseThrow().name(), "k1");
        assertEquals(before.keyByHash("ab").orElseThrow().name(), "k1");
    }

    private static Host host(String name, String pool, int slots) {
        return new Host(name, "127.0.0.1:1", "z1", "r1", pool, HostState.ACTIVE, slots, 64, 4, 1L << 30, 0);
    }
}
