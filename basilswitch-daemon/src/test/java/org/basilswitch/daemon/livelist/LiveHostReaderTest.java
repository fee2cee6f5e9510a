package org.basilswitch.daemon.livelist;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.HostAndPort;
import org.basilswitch.event.Telemetry;
import org.basilswitch.placement.LiveHosts.Presence;
import org.basilswitch.standin.hosts.HostListServer;
import org.basilswitch.standin.hosts.HostListServer.ListFaults;
import org.basilswitch.standin.hosts.HostListServer.Listing;
import org.basilswitch.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the reader with a list that lags, becomes unreadable and recovers. */
public final class LiveHostReaderTest {
    private static final Duration LAG = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(5);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long CHECK_INTERVAL_MS = 20;

    private final AtomicLong skippedNanos = new AtomicLong();
    private Vertx vertx;
    private Context context;
    private HostListServer server;
    private LiveHostReader reader;
    private LeavingReports leavingReports;

    /** Starts a list of two hosts and a reader of it. */
    @BeforeMethod
    public void start() {
        skippedNanos.set(0);
        vertx = Vertx.vertx();
        context = vertx.getOrCreateContext();
        server = HostListServer.start(vertx, 0, Set.of("a", "b"), LAG).await();
        reader = LiveHostReader.start(
                vertx,
                context,
                new SkippingClock(skippedNanos),
                Telemetry.none(),
                new LiveListOptions(HostAndPort.create("127.0.0.1", server.port()), POLL_INTERVAL));
        leavingReports = LeavingReports.create(reader, new SkippingClock(skippedNanos));
    }

    /** Stops the list and the reader. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
        reader.close();
        vertx.close().await();
    }

    private Presence presence(String host) throws Exception {
        CompletableFuture<Presence> answer = new CompletableFuture<>();
        context.runOnContext(ignored -> answer.complete(leavingReports.presence(host)));
        return answer.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private Duration awaitPresence(String host, Presence expected) throws Exception {
        long startNanos = System.nanoTime();
        while (presence(host) != expected) {
            Duration waited = Duration.ofNanos(System.nanoTime() - startNanos);
            assertTrue(waited.compareTo(TIMEOUT) < 0, host + " is " + presence(host) + ", not " + expected);
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
        }
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /** A leaving host is seen as leaving within the bound although the list lags; the other host stays live. */
    @Test
    public void leavingHostIsSeenWithinBoundDespiteListLag() throws Exception {
        awaitPresence("a", Presence.LIVE);
        server.setListing("a", Listing.LEAVING).await();
        Duration known = awaitPresence("a", Presence.LEAVING);
        assertTrue(known.compareTo(LEAVING_BOUND) < 0, "known after " + known);
        assertEquals(presence("b"), Presence.LIVE);
        server.setListing("a", Listing.GONE).await();
        awaitPresence("a", Presence.GONE);
        server.setListing("a", Listing.LIVE).await();
        awaitPresence("a", Presence.LIVE);
    }

    /** A host's own report overrides the list at once, and expires after 10 s. */
    @Test
    public void leavingReportOverridesList() throws Exception {
        awaitPresence("a", Presence.LIVE);
        context.runOnContext(ignored -> leavingReports.reportLeaving("a"));
        assertEquals(presence("a"), Presence.LEAVING);
        skippedNanos.addAndGet(Duration.ofSeconds(11).toNanos());
        assertEquals(presence("a"), Presence.LIVE);
    }

    /** An unreadable list stays in use for 30 s, then all hosts are unknown until it is read again. */
    @Test
    public void unreadableListExpiresToUnknown() throws Exception {
        awaitPresence("a", Presence.LIVE);
        server.setFaults(new ListFaults(true, 0)).await();
        TimeUnit.MILLISECONDS.sleep(3 * POLL_INTERVAL.toMillis());
        assertEquals(presence("a"), Presence.LIVE);
        skippedNanos.addAndGet(Duration.ofSeconds(31).toNanos());
        assertEquals(presence("a"), Presence.UNKNOWN);
        server.setFaults(new ListFaults(false, 0)).await();
        awaitPresence("a", Presence.LIVE);
    }

    /** A host that was never listed is unknown, not gone. */
    @Test
    public void neverListedHostIsUnknown() throws Exception {
        awaitPresence("a", Presence.LIVE);
        assertEquals(presence("stranger"), Presence.UNKNOWN);
    }

    /** The system's clocks, where the monotonic clock can be advanced. */
    private record SkippingClock(AtomicLong skippedNanos) implements Clock {
        @Override
        public Instant instant() {
            return Instant.now();
        }

        @Override
        public long monotonicNanos() {
            return System.nanoTime() + skippedNanos.get();
        }
    }
}
