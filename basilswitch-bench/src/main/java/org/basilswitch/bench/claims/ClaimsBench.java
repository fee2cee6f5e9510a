package org.basilswitch.bench.claims;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.claim.ClaimService;
import org.basilswitch.dispatch.RequestClaims;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;

/**
 * Measures throughput and latency of claims offered to 9 entry hosts on virtual time at several rates, with grouped
 * commits and with the baseline of one store write per claim.
 */
public final class ClaimsBench {
    private static final int HOSTS = 9;
    private static final int STORE_WRITES_PER_SECOND = 300;
    private static final Duration ONE_WAY_DELAY = Duration.ofNanos(1_500_000);
    private static final Duration CLAIM_TIME = Duration.ofMinutes(10);
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration WARM_UP = Duration.ofSeconds(1);
    private static final int[] RATES = {10, 100, 1_000, 5_000, 10_000};
    private static final double NANOS_PER_SECOND = 1e9;

    private final SimulatedTime time = SimulatedTime.create();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
    private final MemoryStore memory = MemoryStore.create(time, time);
    private final RateLimitedStore store;
    private final Histogram latencyMicros = new Histogram(3);
    private final Map<MemberId, ClaimService> services = new HashMap<>();
    private final List<Member> members = new ArrayList<>();
    private long offered;
    private long granted;
    private long refused;

    private ClaimsBench() {
        MemoryStoreClient client = MemoryStoreClient.create(memory, time, random);
        client.setOneWayDelay(ONE_WAY_DELAY);
        store = new RateLimitedStore(client, time, STORE_WRITES_PER_SECOND);
    }

    /** Measures each rate for some virtual seconds and prints one line per rate and mode. */
    public static void run(int seconds, PrintStream out) {
        out.printf("store: %d writes/s, 1.5 ms each way; %d entry hosts%n", STORE_WRITES_PER_SECOND, HOSTS);
        out.println("mode       offered/s  granted/s  refused  p50 ms  p99 ms  max ms  writes/s  CPU us/claim");
        for (int rate : RATES) {
            ClaimsBench grouped = new ClaimsBench();
            grouped.startServices();
            grouped.measure("grouped", rate, seconds, out);
        }
        for (int rate : RATES) {
            new ClaimsBench().measure("one write", rate, seconds, out);
        }
    }

    private void startServices() {
        for (int i = 0; i < HOSTS; i++) {
            members.add(new Member(new MemberId("m" + i), "entry-" + i, "10.0.0." + i + ":7000", "z" + i % 4));
        }
        for (Member member : members) {
            ClaimService service = ClaimService.create(
                    member.id(),
                    new StoreKeys("bench"),
                    store,
                    time,
                    time,
                    random,
                    (to, message) ->
                            time.schedule(ONE_WAY_DELAY, () -> services.get(to).receive(member.id(), message)),
                    () -> members,
                    Telemetry.none());
            services.put(member.id(), service);
        }
        services.values().forEach(ClaimService::onMembersChanged);
        time.runFor(WARM_UP);
    }

    private void measure(String mode, int rate, int seconds, PrintStream out) {
        long writesBefore = store.writes();
        long startNanos = System.nanoTime();
        offer(rate, (long) rate * seconds);
        time.runFor(Duration.ofSeconds(seconds).plus(CLAIM_TIMEOUT).plusSeconds(1));
        double cpuMicros = (System.nanoTime() - startNanos) / 1e3 / Math.max(1, offered);
        out.printf(
                "%-10s %9d %10.0f %8d %7.1f %7.1f %7.1f %9.0f %13.1f%n",
                mode,
                rate,
                (double) granted / seconds,
                refused,
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                latencyMicros.getMaxValue() / 1e3,
                (double) (store.writes() - writesBefore) / seconds,
                cpuMicros);
    }

    private void offer(int rate, long count) {
        if (offered >= count) {
            return;
        }
        String key = "id-" + offered++;
        long offeredNanos = time.monotonicNanos();
        if (services.isEmpty()) {
            claimWithOwnWrite(key, offeredNanos);
        } else {
            MemberId host = members.get((int) (offered % HOSTS)).id();
            services.get(host)
                    .claim("invoice", key, CLAIM_TIME, CLAIM_TIMEOUT)
                    .thenAccept(result -> recordResult(result instanceof RequestClaims.Granted, offeredNanos));
        }
        double gapNanos = -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / rate;
        time.schedule(Duration.ofNanos((long) gapNanos), () -> offer(rate, count));
    }

    private void claimWithOwnWrite(String key, long offeredNanos) {
        Transaction transaction = Transaction.builder()
                .compare(key, Transaction.ABSENT)
                .put(key, new byte[33])
                .build();
        store.commit(transaction)
                .thenAccept(result ->
                        recordResult(result.isRight() && result.get() instanceof CommitResult.Committed, offeredNanos));
    }

    private void recordResult(boolean wasGranted, long offeredNanos) {
        if (wasGranted) {
            granted++;
            latencyMicros.recordValue((time.monotonicNanos() - offeredNanos) / 1_000);
        } else {
            refused++;
        }
    }
}
