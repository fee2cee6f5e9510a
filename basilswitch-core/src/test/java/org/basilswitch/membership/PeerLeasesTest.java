package org.basilswitch.membership;

import java.time.Duration;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.Team;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.Heartbeat;
import org.basilswitch.peer.PeerMessage.HeartbeatReply;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.basilswitch.time.SteppedClock;
import org.basilswitch.time.SuspendAwareClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of promises at a host whose wall clock jumps against its monotonic clock, as after a suspension. */
public final class PeerLeasesTest {
    private static final PromiseTimes TIMES = PromiseTimes.of(Duration.ofSeconds(2), 0.01);
    private static final Duration SUSPENSION = Duration.ofSeconds(9);
    private static final StoreKeys KEYS = new StoreKeys("test");
    private static final MemberId SELF = new MemberId("e1");
    private static final MemberId PEER = new MemberId("e2");
    private static final MembersRecord MEMBERS = members();

    private SimulatedTime time;
    private SteppedClock clock;
    private MemoryStoreClient store;
    private ConfigurationFollower follower;
    private PeerLeases leases;

    private static MembersRecord members() {
        List<Member> members = List.of(
                new Member(SELF, "e1", "127.0.0.1:1", "z1"),
                new Member(PEER, "e2", "127.0.0.1:2", "z1"),
                new Member(new MemberId("e3"), "e3", "127.0.0.1:3", "z1"));
        return new MembersRecord(1, members);
    }

    /** Creates the leases of one of three hosts. */
    @BeforeMethod
    public void createLeases() {
        time = SimulatedTime.create();
        clock = new SteppedClock(time, Duration.ZERO);
        store = MemoryStoreClient.create(
                MemoryStore.create(time, time), time, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
        follower = ConfigurationFollower.create(KEYS, store, time, Telemetry.none());
        follower.start();
        leases = PeerLeases.create(SELF, TIMES, clock, SuspendAwareClock.of(clock), follower, () -> MEMBERS);
        time.runFor(Duration.ofSeconds(1));
    }

    private void receivePromise() {
        Heartbeat heartbeat = leases.createHeartbeat(PEER, List.of());
        leases.onReply(PEER, new HeartbeatReply(heartbeat.sequence(), true, 0, 0, 0));
    }

    /** A host whose monotonic clock stood still while it was suspended starts no work on promises from before. */
    @Test
    public void suspensionEndsHeldPromises() {
        receivePromise();
        Assert.assertTrue(leases.mayStartWork());
        clock.setWallOffset(SUSPENSION);
        Assert.assertFalse(leases.mayStartWork(), "starts work " + SUSPENSION + " after the promise");
        Assert.assertEquals(leases.remaining(), Duration.ZERO);
        receivePromise();
        Assert.assertTrue(leases.mayStartWork());
    }

    /** The answer to a heartbeat that was sent before a suspension gives no promise. */
    @Test
    public void answerFromBeforeSuspensionGivesNoPromise() {
        Heartbeat heartbeat = leases.createHeartbeat(PEER, List.of());
        clock.setWallOffset(SUSPENSION);
        leases.onReply(PEER, new HeartbeatReply(heartbeat.sequence(), true, 0, 0, 0));
        Assert.assertFalse(leases.mayStartWork());
    }

    /** A step of the granter's wall clock does not end a promise that another host relies on. */
    @Test
    public void stepOfWallClockEndsNoGivenPromise() {
        long revision = follower.revision();
        HeartbeatReply reply = leases.onHeartbeat(PEER, new Heartbeat(1, revision, revision, revision, List.of()));
        Assert.assertTrue(reply.promised());
        clock.setWallOffset(SUSPENSION);
        store.commit(Transaction.builder()
                .put(KEYS.configuration("teams", "a"), RecordCodec.encode(new Team("a", 1, 10)))
                .build());
        time.runFor(Duration.ofSeconds(1));
        Assert.assertTrue(follower.knownRevision() > revision, "has not learned of the change");
        Assert.assertTrue(leases.acknowledgedRevision() <= revision, "acknowledged during the promise");
        time.runFor(Duration.ofNanos(TIMES.granterNanos()));
        Assert.assertEquals(leases.acknowledgedRevision(), follower.knownRevision());
    }
}
