package org.basilswitch.daemon.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.basilswitch.event.EventCode;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Holds the pages of the documentation against the code. */
public final class CatalogueTest {
    private static final Path DOCS = Path.of("..", "docs");

    /** docs/LOG-EVENTS.md is what the command prints. */
    @Test
    public void logEventsPageIsCurrent() throws IOException {
        assertEquals(
                Files.readString(DOCS.resolve("LOG-EVENTS.md")),
                EventsPage.render(),
                "run ./basilswitch catalogue events > docs/LOG-EVENTS.md");
    }

    /** docs/METRICS.md is what the command prints. */
    @Test
    public void metricsPageIsCurrent() throws IOException {
        assertEquals(
                Files.readString(DOCS.resolve("METRICS.md")),
                MetricsPage.render(),
                "run ./basilswitch catalogue metrics > docs/METRICS.md");
    }

    /** No two events share a number. */
    @Test
    public void eventNumbersAreUnique() {
        Set<Integer> numbers = new HashSet<>();
        for (EventCode code : EventCode.values()) {
            assertTrue(numbers.add(code.number()), code + " has the number of another event");
        }
    }
}
