package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.dispatch.DispatchTestSite.TestCaller;
import org.basilswitch.dispatch.Refusal.Code;
import org.basilswitch.dispatch.Refusal.Outcome;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Tests admission, attempts, retries and refusals at one broker. */
public final class BrokerTest {

    private static Refusal refusalOf(DispatchTestSite site, TestCaller caller) {
        site.run(50);
        return caller.refusal();
    }

    /** An unknown queue, a missing or unknown key and a removed team are each refused with their own code. */
    @Test
    public void unknownQueueKeyOrTeamIsRefused() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        assertEquals(refusalOf(site, site.submit("nowhere", "a")).code(), Code.QUEUE_UNKNOWN);
        assertEquals(
                refusalOf(
                                site,
                                site.submit(
                                        DispatchTestSite.spec(DispatchTestSite.NON_IDEMPOTENT_QUEUE, Optional.empty())))
                        .code(),
                Code.KEY_MISSING);
        assertEquals(
                refusalOf(site, site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "stranger"))
                        .code(),
                Code.KEY_UNKNOWN);
        site.remove(site.configuration.teams().get("b"));
        assertEquals(
                refusalOf(site, site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "b"))
                        .code(),
                Code.TEAM_NOT_ALLOWED);
        TestCaller open = site.submit(DispatchTestSite.spec(DispatchTestSite.OPEN_QUEUE, Optional.empty()));
        site.run(1);
        assertEquals(open.lastAttempt().team(), "open");
    }

    /** After a key is withdrawn, its waiting requests are refused and its offered attempts cannot be sent. */
    @Test
    public void withdrawnKeyRefusesWaitingAndUnsentRequests() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        TestCaller running = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        TestCaller waiting = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        TeamKey key = site.configuration.keys().get("key-a");
        site.remove(key);
        site.run(50);
        assertEquals(waiting.refusal().code(), Code.KEY_UNKNOWN);
        assertFalse(running.lastAttempt().tryBeginSend());
        assertEquals(refusalOf(site, running).outcome(), Outcome.NOT_RUN);
        assertEquals(site.unitsHeld(), 0);
    }

    /**
     * A request is not sent when its deadline has passed while the host was suspended: its claim may be over, and another
     * host may have run the caller's second request with the same id.
     */
    @Test
    public void requestIsNotSentAfterSuspensionBeyondDeadline() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        TestCaller caller = site.submit(DispatchTestSite.withId(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", "id-1"));
        site.run(20);
        Attempt claimed = caller.lastAttempt();
        site.clock.setWallOffset(Duration.ofMinutes(15));
        assertFalse(claimed.tryBeginSend(), "sent 15 min after its claim");
        assertEquals(refusalOf(site, caller).outcome(), Outcome.NOT_RUN);
        assertEquals(site.unitsHeld(), 0);
    }

    /** A step of the wall clock does not give back the unit of a sent request, which may still run, before its deadline. */
    @Test
    public void unitOfSentRequestOutlastsStepOfWallClock() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        TestCaller caller = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        assertTrue(caller.lastAttempt().tryBeginSend());
        site.clock.setWallOffset(Duration.ofMinutes(15));
        caller.lastAttempt().fail(Attempt.Failure.RESET);
        site.run(5_000);
        assertEquals(site.unitsHeld(), 1);
        site.run(6_000);
        assertEquals(site.unitsHeld(), 0);
    }

    /** A non-idempotent request is not retried after its first byte may have been sent. */
    @Test
    public void sentNonIdempotentRequestIsNotRetried() {
        DispatchTestSite site = DispatchTestSite.create(4, 4);
        TestCaller caller = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        assertTrue(caller.lastAttempt().tryBeginSend());
        assertFalse(caller.lastAttempt().tryBeginSend());
        caller.lastAttempt().fail(Attempt.Failure.RESET);
        site.run(1_000);
        assertEquals(caller.attempts.size(), 1);
        assertEquals(caller.refusal(), Refusal.unknown(Code.ANSWER_LOST));
        assertEquals(site.violations(), 0);
    }

    /** A request that certainly did not run is retried on another server. */
    @Test
    public void unsentRequestIsRetriedElsewhere() {
        DispatchTestSite site = DispatchTestSite.create(2, 4);
        TestCaller caller = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        caller.lastAttempt().fail(Attempt.Failure.CONNECT_REFUSED);
        site.run(200);
        assertEquals(caller.attempts.size(), 2);
        assertNotEquals(
                caller.attempts.get(0).server().name(),
                caller.attempts.get(1).server().name());
        assertTrue(caller.lastAttempt().tryBeginSend());
        caller.lastAttempt().complete(200);
        site.run(10);
        assertTrue(caller.refusals.isEmpty());
        assertEquals(site.broker.openRequests(), 0);
        assertEquals(site.unitsHeld(), 0);
    }

    /** A busy refusal after sending means that the request has not run, so it may be sent again. */
    @Test
    public void busyRefusalAllowsAnotherSend() {
        DispatchTestSite site = DispatchTestSite.create(2, 4);
        TestCaller caller = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        assertTrue(caller.lastAttempt().tryBeginSend());
        caller.lastAttempt().fail(Attempt.Failure.SERVER_BUSY);
        site.run(100);
        assertEquals(caller.attempts.size(), 2);
        assertTrue(caller.lastAttempt().tryBeginSend());
        assertEquals(site.violations(), 0);
    }

    /** Late and repeated callbacks of an attempt have no effect. */
    @Test
    public void lateAndRepeatedCallbacksAreIgnored() {
        DispatchTestSite site = DispatchTestSite.create(2, 4);
        TestCaller caller = site.submit(DispatchTestSite.IDEMPOTENT_QUEUE, "a");
        site.run(1);
        Attempt first = caller.lastAttempt();
        first.tryBeginSend();
        first.fail(Attempt.Failure.RESET);
        first.fail(Attempt.Failure.ANSWER_TIMEOUT);
        first.complete(200);
        site.run(500);
        assertEquals(caller.attempts.size(), 2);
        assertFalse(first.tryBeginSend());
        caller.lastAttempt().tryBeginSend();
        caller.lastAttempt().complete(200);
        caller.lastAttempt().complete(200);
        first.complete(200);
        site.run(20_000);
        assertTrue(caller.refusals.isEmpty());
        assertEquals(site.violations(), 0);
        assertEquals(site.unitsHeld(), 0);
    }

    /** An idempotent request that fails on three distinct servers is set aside. */
    @Test
    public void requestFailingOnThreeServersIsSetAside() {
        DispatchTestSite site = DispatchTestSite.create(8, 4);
        TestCaller caller = site.submit(DispatchTestSite.IDEMPOTENT_QUEUE, "a");
        caller.attemptHandler = attempt -> {
            attempt.tryBeginSend();
            attempt.fail(Attempt.Failure.RESET);
        };
        site.run(2_000);
        Set<String> servers = new HashSet<>();
        caller.attempts.forEach(attempt -> servers.add(attempt.server().name()));
        assertEquals(servers.size(), 3);
        assertEquals(caller.refusal().code(), Code.SET_ASIDE);
        assertEquals(caller.refusal().outcome(), Outcome.UNKNOWN);
    }

    /** When every server fails, the number of attempts stays within 1.1 times the number of requests. */
    @Test
    public void retriesAreBoundedWhenAllServersFail() {
        DispatchTestSite site = DispatchTestSite.create(8, 8);
        int attempts = 0;
        List<TestCaller> callers = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            TestCaller caller = site.submit(DispatchTestSite.IDEMPOTENT_QUEUE, "a");
            caller.attemptHandler = attempt -> attempt.fail(Attempt.Failure.CONNECT_REFUSED);
            callers.add(caller);
            site.run(10);
        }
        for (TestCaller caller : callers) {
            attempts += caller.attempts.size();
        }
        assertTrue(attempts <= 1_100, "attempts " + attempts);
    }

    /** A host without a serving lease refuses requests as not run, even if it loses the lease just before sending. */
    @Test
    public void hostWithoutServingLeaseSendsNothing() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        TestCaller offered = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        TestCaller waiting = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        site.servingAllowed = false;
        assertFalse(offered.lastAttempt().tryBeginSend());
        site.run(100);
        assertEquals(offered.refusal().code(), Code.STALE);
        assertEquals(waiting.refusal().code(), Code.STALE);
        assertEquals(
                refusalOf(site, site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a"))
                        .outcome(),
                Outcome.NOT_RUN);
    }

    /** The unit of a request that may still be running is held until the request's deadline. */
    @Test
    public void requestThatMayStillRunKeepsUnitUntilDeadline() {
        DispatchTestSite site = DispatchTestSite.create(1, 4);
        TestCaller caller = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.run(1);
        caller.lastAttempt().tryBeginSend();
        caller.lastAttempt().fail(Attempt.Failure.CALLER_GONE);
        site.run(5_000);
        assertEquals(site.unitsHeld(), 1);
        site.run(5_000);
        assertEquals(site.unitsHeld(), 0);
    }

    /** A duplicate claim is refused, a claim that cannot be committed is refused, and an unused claim is released. */
    @Test
    public void claimIsCommittedBeforeSending() {
        DispatchTestSite site = DispatchTestSite.create(2, 4);
        TestCaller first = site.submit(DispatchTestSite.withId(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", "id-1"));
        site.run(1);
        assertTrue(first.attempts.isEmpty());
        site.run(10);
        assertTrue(first.lastAttempt().tryBeginSend());
        TestCaller second = site.submit(DispatchTestSite.withId(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", "id-1"));
        assertEquals(refusalOf(site, second).code(), Code.ALREADY_CLAIMED);
        TestCaller unsent = site.submit(DispatchTestSite.withId(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", "id-2"));
        site.run(10);
        unsent.lastAttempt().fail(Attempt.Failure.CALLER_BODY_FAILED);
        site.run(10);
        assertFalse(site.claims.containsKey("id-2"));
        site.claimResult = new RequestClaims.Unavailable("store is down");
        TestCaller third = site.submit(DispatchTestSite.withId(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", "id-3"));
        assertEquals(refusalOf(site, third).code(), Code.CLAIM_UNAVAILABLE);
        first.lastAttempt().complete(200);
        site.run(20_000);
        assertEquals(site.unitsHeld(), 0);
    }

    /** No team holds more units than allotted, and waiting requests start when units are released. */
    @Test
    public void teamLimitBoundsRunningRequests() {
        DispatchTestSite site = DispatchTestSite.create(2, 4);
        site.allottedUnits.put("a", 2);
        List<TestCaller> callers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            callers.add(site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a"));
        }
        site.run(30);
        assertEquals(callers.stream().filter(c -> !c.attempts.isEmpty()).count(), 2);
        callers.get(0).lastAttempt().tryBeginSend();
        callers.get(0).lastAttempt().complete(200);
        site.run(1);
        assertEquals(callers.stream().filter(c -> !c.attempts.isEmpty()).count(), 3);
        assertEquals(site.maxUnitsOfTeamA, 2);
    }

    /** A waiting request is refused once it can no longer complete before its deadline. */
    @Test
    public void waitingRequestIsRefusedByDeadline() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        TestCaller waiting = site.submit(DispatchTestSite.spec(
                DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", RequestSpec.Priority.NORMAL, Duration.ofMillis(300)));
        site.run(310);
        assertEquals(waiting.refusal().code(), Code.DEADLINE);
        assertEquals(waiting.refusal().outcome(), Outcome.NOT_RUN);
    }

    /** Cancelling ten thousand requests twice refuses each waiting one once and leaves only the running one open. */
    @Test
    public void cancellingAllRequestsRefusesEachWaitingOne() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        site.put(new org.basilswitch.configuration.Queue(
                DispatchTestSite.NON_IDEMPOTENT_QUEUE,
                DispatchTestSite.POOL,
                false,
                false,
                60_000,
                60_000,
                1 << 20,
                100_000));
        List<TestCaller> callers = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            callers.add(site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, i % 2 == 0 ? "a" : "b"));
        }
        site.run(1);
        callers.forEach(caller -> caller.handle.cancel());
        callers.forEach(caller -> caller.handle.cancel());
        site.run(10);
        assertEquals(site.broker.openRequests(), 1);
        assertEquals(callers.stream().filter(c -> c.refusals.size() == 1).count(), 9_999);
        assertEquals(site.violations(), 0);
    }

    /** A draining broker refuses new requests and completes the accepted ones. */
    @Test
    public void drainCompletesAcceptedRequests() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        TestCaller running = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        TestCaller waiting = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        site.broker.drain();
        assertEquals(
                refusalOf(site, site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a"))
                        .code(),
                Code.DRAINING);
        running.lastAttempt().tryBeginSend();
        running.lastAttempt().complete(200);
        site.run(10);
        assertTrue(waiting.lastAttempt().tryBeginSend());
        waiting.lastAttempt().complete(200);
        site.run(10);
        assertEquals(site.broker.openRequests(), 0);
    }

    /** A server that is draining in the configuration or leaving in the live-host list gets no new work. */
    @Test
    public void drainingAndLeavingServersGetNoNewWork() {
        DispatchTestSite site = DispatchTestSite.create(3, 100);
        site.put(DispatchTestSite.host("s0", 100, HostState.DRAINING));
        site.presences.put("s1", org.basilswitch.placement.LiveHosts.Presence.LEAVING);
        for (int i = 0; i < 50; i++) {
            TestCaller caller = site.submit(DispatchTestSite.IDEMPOTENT_QUEUE, "a");
            site.run(1);
            assertEquals(caller.lastAttempt().server().name(), "s2");
        }
        site.presences.put("s2", org.basilswitch.placement.LiveHosts.Presence.LEAVING);
        assertEquals(
                refusalOf(site, site.submit(DispatchTestSite.IDEMPOTENT_QUEUE, "a"))
                        .code(),
                Code.NO_SERVER);
    }

    /** Urgent requests start before normal ones, and preemption is requested while none can start. */
    @Test
    public void urgentRequestStartsFirstAndTriggersPreemption() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        TestCaller running = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        TestCaller normal = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a");
        TestCaller urgent = site.submit(DispatchTestSite.spec(
                DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", RequestSpec.Priority.URGENT, Duration.ofSeconds(10)));
        site.run(30);
        assertFalse(site.preemptedPools.isEmpty());
        running.lastAttempt().tryBeginSend();
        running.lastAttempt().complete(200);
        site.run(1);
        assertEquals(urgent.attempts.size(), 1);
        assertTrue(normal.attempts.isEmpty());
    }

    /**
     * Background requests leave slots free in which urgent ones start at once; preemption is requested for more of
     * them.
     */
    @Test
    public void urgentRequestsStartInReservedSlots() {
        DispatchTestSite site = DispatchTestSite.create(2, 8);
        for (int i = 0; i < 40; i++) {
            site.submit(DispatchTestSite.spec(
                    DispatchTestSite.IDEMPOTENT_QUEUE, "a", RequestSpec.Priority.BACKGROUND, Duration.ofSeconds(9)));
        }
        site.run(100);
        List<TestCaller> urgent = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            urgent.add(site.submit(DispatchTestSite.spec(
                    DispatchTestSite.IDEMPOTENT_QUEUE, "b", RequestSpec.Priority.URGENT, Duration.ofSeconds(9))));
        }
        site.run(5);
        assertEquals(urgent.stream().filter(c -> !c.attempts.isEmpty()).count(), 2);
        assertEquals(site.preemptedPools, List.of(DispatchTestSite.POOL));
    }

    /** A server that starts draining while a claim is pending is not used. */
    @Test
    public void serverDrainingDuringClaimIsNotUsed() {
        DispatchTestSite site = DispatchTestSite.create(2, 8);
        site.claimDelay = Duration.ofMillis(500);
        TestCaller caller = site.submit(DispatchTestSite.withId(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", "id-1"));
        site.run(100);
        site.put(DispatchTestSite.host("s0", 8, HostState.DRAINING));
        site.submit(DispatchTestSite.IDEMPOTENT_QUEUE, "a");
        site.run(600);
        assertEquals(caller.lastAttempt().server().name(), "s1");
        assertEquals(site.claims.get("id-1"), 1);
    }

    /** When a queue is full, requests of the team with the most waiting requests relative to its weight are evicted. */
    @Test
    public void fullQueueEvictsFromLargestTeam() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        List<TestCaller> large = new ArrayList<>();
        for (int i = 0; i < 110; i++) {
            large.add(site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a"));
        }
        site.run(5);
        TestCaller small = site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "b");
        site.run(5);
        assertTrue(small.refusals.isEmpty());
        assertEquals(large.stream().filter(c -> !c.refusals.isEmpty()).count(), 10);
        large.stream()
                .filter(c -> !c.refusals.isEmpty())
                .forEach(c -> assertEquals(c.refusal().code(), Code.QUEUE_FULL));
    }

    /** Refused callers get different retry delays, from 1 s to 30 s. */
    @Test
    public void retryAfterIsRandomised() {
        DispatchTestSite site = DispatchTestSite.create(1, 1);
        site.broker.drain();
        Set<Duration> times = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            times.add(refusalOf(site, site.submit(DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a"))
                    .retryAfter()
                    .orElseThrow());
        }
        assertTrue(times.size() > 40, "distinct times " + times.size());
        times.forEach(t -> assertTrue(t.toMillis() >= 1_000 && t.toMillis() <= 30_000));
    }

    /** A request that expires while waiting for a unit of its team is refused with the team limit as the reason. */
    @Test
    public void requestWaitingForTeamUnitIsRefusedWithTeamLimit() {
        DispatchTestSite site = DispatchTestSite.create(2, 4);
        site.allottedUnits.put("a", 0);
        TestCaller caller = site.submit(DispatchTestSite.spec(
                DispatchTestSite.NON_IDEMPOTENT_QUEUE, "a", RequestSpec.Priority.NORMAL, Duration.ofMillis(200)));
        site.run(300);
        assertEquals(caller.refusal().code(), Code.TEAM_LIMIT);
        assertEquals(caller.refusal().outcome(), Outcome.NOT_RUN);
    }
}
