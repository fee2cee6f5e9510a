package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.standin.worker.ExecutionRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that each check of the audit reports exactly the cases that violate its requirement. */
public final class LoadAuditTest {
    private static final LoadStream INVOICES = stream(false);
    private static final LoadStream QUOTES = stream(true);
    private static final Outcome OK = new Outcome.Answered(200);

    private static LoadStream stream(boolean idempotent) {
        return new LoadStream(
                "depot", Optional.empty(), "queue", idempotent, 1, 1, Duration.ofSeconds(1), new RatePattern.Steady());
    }

    private static ExecutionRecord run(String testId, long startedMicros, long endedMicros) {
        return new ExecutionRecord("r", 1, "depot", "queue", testId, "w", startedMicros, endedMicros);
    }

    private static RequestResult result(String testId, LoadStream stream, Outcome outcome) {
        return new RequestResult(testId, stream, outcome, 1, Duration.ZERO);
    }

    private static List<String> violatedRequirements(
            long sent, List<RequestResult> results, List<ExecutionRecord> runs, int limit) {
        LoadCounts counts = new LoadCounts();
        for (long i = 0; i < sent; i++) {
            counts.recordSent();
        }
        LoadResult load = new LoadResult(Map.of("depot", counts), results, 0);
        return LoadAudit.of(load, runs, Map.of("depot", limit)).checks().stream()
                .filter(check -> !check.holds())
                .map(LoadAudit.Check::requirement)
                .toList();
    }

    /** Provides cases with the requirements that they violate. */
    @DataProvider
    public Object[][] cases() {
        List<ExecutionRecord> once = List.of(run("a", 10, 20));
        List<ExecutionRecord> twice = List.of(run("a", 10, 20), run("a", 30, 40));
        Outcome refused = new Outcome.Refused("overloaded");
        Outcome unknown = new Outcome.Unknown("answer-lost");
        return new Object[][] {
            {1, result("a", INVOICES, OK), once, List.of()},
            {1, result("a", QUOTES, OK), twice, List.of()},
            {1, result("a", INVOICES, unknown), List.of(), List.of()},
            {1, result("a", INVOICES, unknown), once, List.of()},
            {1, result("a", INVOICES, refused), List.of(), List.of()},
            {2, result("a", INVOICES, OK), once, List.of("answered + refused + unknown = sent")},
            {1, result("a", INVOICES, OK), twice, List.of("no non-idempotent request ran twice")},
            {1, result("a", INVOICES, refused), once, List.of("no request refused as not run has run")},
            {1, result("a", INVOICES, OK), List.of(), List.of("each answered request has run")},
            {1, result("a", INVOICES, new Outcome.Foreign("b")), once, List.of("no caller got another's answer")},
        };
    }

    /** The violated requirements are exactly the expected ones. */
    @Test(dataProvider = "cases")
    public void violatedChecksAreReported(
            long sent, RequestResult result, List<ExecutionRecord> runs, List<String> expected) {
        assertEquals(violatedRequirements(sent, List.of(result), runs, 1), expected);
    }

    /** Adjacent executions do not overlap; more concurrent executions than the limit are reported. */
    @Test
    public void concurrentRunsAboveLimitAreReported() {
        List<RequestResult> results = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            results.add(result(id, INVOICES, OK));
        }
        List<ExecutionRecord> touching = List.of(run("a", 10, 20), run("b", 20, 30), run("c", 20, 0));
        assertEquals(violatedRequirements(3, results, touching, 2), List.of());
        assertEquals(violatedRequirements(3, results, touching, 1), List.of("no team had more running than its limit"));
    }

    /** The second of five queues bursts in its turn only, and again one round later. */
    @Test
    public void queuesBurstInTurn() {
        RatePattern second = new RatePattern.Alternating(1, 5, Duration.ofSeconds(3));
        assertEquals(second.factor(Duration.ofSeconds(1)), RatePattern.QUIET_FACTOR);
        assertEquals(second.factor(Duration.ofSeconds(4)), RatePattern.BURST_FACTOR);
        assertEquals(second.factor(Duration.ofSeconds(19)), RatePattern.BURST_FACTOR);
    }
}
