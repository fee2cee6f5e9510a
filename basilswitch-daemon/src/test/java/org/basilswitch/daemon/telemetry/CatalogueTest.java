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

/** Compares the generated documentation pages with the code. */
public final class CatalogueTest {
    private static final Path DOCS = Path.of("..", "docs");

    /** docs/LOG-EVENTS.md equals the output of the command that generates it. */
    @Test
    public void logEventsPageIsCurrent() throws IOException {
        assertEquals(
                Files.readString(DOCS.resolve("LOG-EVENTS.md")),
                EventsPage.render(),
                "run ./basilswitch catalogue events > docs/LOG-EVENTS.md");
    }

    /** docs/METRICS.md equals the output of the command that generates it. */
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
