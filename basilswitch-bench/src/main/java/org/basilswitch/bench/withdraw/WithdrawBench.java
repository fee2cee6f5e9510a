package org.basilswitch.bench.withdraw;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Withdraws keys through random entry hosts and measures the time until every entry host refuses them.
 *
 * <p>The time starts before the operator's first call and ends when the last entry host has answered a caller's
 * request that uses the key with status 401.
 */
public final class WithdrawBench {
    static final String QUEUE = "probe";

    private static final String TEAM = "bench";
    private static final long ACCEPTED_POLL_MS = 10;

    private final WithdrawOptions options;
    private final WithdrawSite site;
    private final OperatorClient operator;
    private final KeyProbe probe;
    private final UniformRandomProvider random;

    private WithdrawBench(WithdrawOptions options, WithdrawSite site, OperatorClient operator, KeyProbe probe) {
        this.options = options;
        this.site = site;
        this.operator = operator;
        this.probe = probe;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed());
    }

    /** Starts a site, measures all samples and stops the site. */
    public static WithdrawReport run(WithdrawOptions options) {
        try (WithdrawSite site = WithdrawSite.start(options.entryHosts());
                OperatorClient operator = OperatorClient.create(site);
                KeyProbe probe = KeyProbe.create(site.vertx(), site.callerPorts())) {
            return new WithdrawBench(options, site, operator, probe).measureSamples();
        }
    }

    private WithdrawReport measureSamples() {
        operator.put(0, "teams/" + TEAM, "bench-team", "{\"limitTasks\": 1000}");
        operator.put(0, "pools/empty", "bench-pool", "{\"minAvailableHosts\": 0}");
        operator.put(
                0,
                "queues/" + QUEUE,
                "bench-queue",
                "{\"pool\": \"empty\", \"claimTimeMs\": 60000, \"deadlineMs\": 50,"
                        + " \"bodyLimitBytes\": 1000, \"queuedLimitRequests\": 100}");
        List<WithdrawSample> samples = new ArrayList<>();
        for (int i = 0; i < options.samples(); i++) {
            samples.add(measureSample(i, i % 2 == 1));
        }
        return new WithdrawReport(options, samples, site.lostAnswers(), probe.unanswered());
    }

    private WithdrawSample measureSample(int number, boolean storeFaulty) {
        String secret = "secret-" + options.seed() + "-" + number;
        String path = "keys/key-" + number;
        String record = "{\"team\": \"" + TEAM + "\", \"sha256Hex\": \"" + WithdrawSite.sha256(secret) + "\"}";
        long revision = operator.put(anyEntryHost(), path, "create-key-" + number, record)
                .answer()
                .revision();
        while (!probe.isAcceptedEverywhere(secret)) {
            WithdrawSite.sleep(ACCEPTED_POLL_MS);
        }
        site.loseAnswers(storeFaulty ? options.lostAnswerRatio() : 0);
        long startNanos = System.nanoTime();
        CompletableFuture<Long> refused = probe.awaitRefusedEverywhere(secret);
        OperatorClient.ChangeResult result = operator.delete(anyEntryHost(), path, "withdraw-" + number, revision);
        Duration answered = Duration.ofNanos(System.nanoTime() - startNanos);
        Duration refusedEverywhere = Duration.ofNanos(refused.join() - startNanos);
        site.loseAnswers(0);
        return new WithdrawSample(storeFaulty, result.attempts(), refusedEverywhere, answered);
    }

    private int anyEntryHost() {
        return random.nextInt(site.size());
    }
}
