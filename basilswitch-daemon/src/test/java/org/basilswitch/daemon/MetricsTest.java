package org.basilswitch.daemon;

import java.net.http.HttpRequest;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.basilswitch.daemon.telemetry.MetricsPage;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the metrics page of a running entry host. */
public final class MetricsTest {
    private static final Pattern TYPE_LINE = Pattern.compile("# TYPE (\\S+) \\S+");

    /** All metrics on the page are documented, and a request is counted. */
    @Test
    public void exposedMetricsAreDocumented() {
        try (SiteFixture site = SiteFixture.start()) {
            site.send(site.post(HttpRequest.BodyPublishers.ofString("x")).build());
            String duration = "basilswitch_request_duration_seconds_count{outcome=\"ran\",queue=\"quotes\"}";
            SiteFixture.await(() -> site.metric(duration) == 1);
            assertEquals(site.metric("basilswitch_requests_open"), 0.0);
            assertEquals(site.metric("basilswitch_ready"), 1.0);
            String documented = MetricsPage.render();
            List<String> names = TYPE_LINE
                    .matcher(site.administration("/metrics").body())
                    .results()
                    .map(result -> result.group(1))
                    .toList();
            assertTrue(names.size() > 10, "metrics " + names);
            for (String name : names) {
                assertTrue(documented.contains("`" + family(name) + "`"), name + " is not documented");
            }
        }
    }

    private static String family(String name) {
        Matcher max = Pattern.compile("(.*)_max").matcher(name);
        return max.matches() ? max.group(1) : name;
    }
}
