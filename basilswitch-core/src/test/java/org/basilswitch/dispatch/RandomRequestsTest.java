package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.HostState;
import org.basilswitch.dispatch.DispatchTestSite.TestCaller;
import org.basilswitch.dispatch.Refusal.Outcome;
import org.basilswitch.dispatch.RequestSpec.Priority;
import org.basilswitch.placement.PlacementPolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the broker's guarantees under random requests, callbacks and faults. */
public final class RandomRequestsTest {
    private static final Attempt.Failure[] FAILURES = Attempt.Failure.values();

    /** Seeds of the runs. */
    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /** Each request ends once. A non-idempotent request is sent at most once, and never after a refusal as not run. */
    @Test(dataProvider = "seeds")
    public void randomRequestsKeepGuarantees(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        DispatchTestSite site = DispatchTestSite.create(4, 3, PlacementPolicy.defaultPolicy(), seed);
        site.allottedUnits.put("a", 5);
        RunningCount running = new RunningCount();
        List<RandomCaller> callers = new ArrayList<>();
        for (int step = 0; step < 1_500; step++) {
            callers.add(submit(site, random, running));
            injectChanges(site, random, step);
            site.run(random.nextInt(30));
            int cancelledIndex = random.nextInt(callers.size());
            if (random.nextInt(10) == 0) {
                callers.get(cancelledIndex).caller.handle.cancel();
            }
        }
        site.servingAllowed = true;
        site.run(60_000);
        callers.forEach(RandomCaller::check);
        assertEquals(site.broker.openRequests(), 0);
        assertEquals(site.unitsHeld(), 0);
        assertEquals(site.violations(), 0);
        assertTrue(running.max <= 5, "running at the servers: " + running.max);
    }

    private static void injectChanges(DispatchTestSite site, UniformRandomProvider random, int step) {
        if (random.nextInt(40) == 0) {
            site.servingAllowed = !site.servingAllowed;
        }
        if (random.nextInt(50) == 0) {
            HostState state = random.nextBoolean() ? HostState.ACTIVE : HostState.DRAINING;
            site.put(DispatchTestSite.host("s" + random.nextInt(4), 3, state));
        }
        if (step % 100 == 0) {
            site.claimResult = random.nextInt(4) == 0
                    ? new RequestClaims.Unavailable("store is down")
                    : new RequestClaims.Granted();
        }
    }

    private static RandomCaller submit(DispatchTestSite site, UniformRandomProvider random, RunningCount running) {
        boolean nonIdempotent = random.nextBoolean();
        RequestSpec spec = new RequestSpec(
                nonIdempotent ? DispatchTestSite.NON_IDEMPOTENT_QUEUE : DispatchTestSite.IDEMPOTENT_QUEUE,
                Optional.of(random.nextBoolean() ? "secret-a" : "secret-b"),
                random.nextInt(3) == 0 ? Optional.of("id-" + random.nextInt()) : Optional.empty(),
                Optional.of(Duration.ofMillis(20 + random.nextInt(3_000))),
                Priority.values()[random.nextInt(3)]);
        RandomCaller caller = new RandomCaller(site, random, nonIdempotent, running);
        caller.caller = site.submit(spec);
        caller.caller.attemptHandler = caller::performAttempt;
        return caller;
    }

    /** Counts the requests of team {@code a} running at the servers. */
    private static final class RunningCount {
        private int current;
        private int max;

        private void change(String team, int change) {
            current += team.equals("a") ? change : 0;
            max = Math.max(max, current);
        }
    }

    /** Performs attempts with random failures, and calls back late and repeatedly. */
    private static final class RandomCaller {
        private final DispatchTestSite site;
        private final UniformRandomProvider random;
        private final boolean nonIdempotent;
        private final RunningCount running;
        private TestCaller caller;
        private int sends;
        private int refusedSends;
        private boolean answered;

        private RandomCaller(
                DispatchTestSite site, UniformRandomProvider random, boolean nonIdempotent, RunningCount running) {
            this.running = running;
            this.site = site;
            this.random = random;
            this.nonIdempotent = nonIdempotent;
        }

        private void performAttempt(Attempt attempt) {
            site.time.schedule(Duration.ofMillis(random.nextInt(20)), () -> {
                if (random.nextInt(8) == 0) {
                    attempt.fail(Attempt.Failure.CONNECT_REFUSED);
                } else if (attempt.tryBeginSend()) {
                    sends++;
                    running.change(attempt.team(), 1);
                    assertTrue(caller.refusals.isEmpty(), "sent after a refusal");
                    site.time.schedule(Duration.ofMillis(random.nextInt(300)), () -> endAttempt(attempt));
                }
                if (random.nextInt(5) == 0) {
                    site.time.schedule(Duration.ofMillis(400), () -> attempt.fail(Attempt.Failure.RESET));
                }
            });
        }

        private void endAttempt(Attempt attempt) {
            running.change(attempt.team(), -1);
            if (random.nextInt(3) > 0) {
                answered = true;
                attempt.complete(200);
                attempt.complete(200);
                return;
            }
            Attempt.Failure failure = FAILURES[random.nextInt(FAILURES.length)];
            refusedSends += failure == Attempt.Failure.SERVER_BUSY ? 1 : 0;
            attempt.fail(failure);
            attempt.fail(Attempt.Failure.SERVER_BUSY);
        }

        private void check() {
            int unrefusedSends = sends - refusedSends;
            assertTrue(!nonIdempotent || unrefusedSends <= 1, "sent " + unrefusedSends + " times");
            assertEquals(caller.refusals.size(), answered ? 0 : 1);
            if (!answered && unrefusedSends > 0) {
                assertEquals(caller.refusal().outcome(), Outcome.UNKNOWN);
            }
            if (!answered && unrefusedSends == 0) {
                assertEquals(caller.refusal().outcome(), Outcome.NOT_RUN);
            }
        }
    }
}
