package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.dispatch.Attempt;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.dispatch.RequestSpec;

/** Simulated callers: steady and bursty requests, and retries with a used idempotency key through other entry hosts. */
final class SimulatedCallers {
    private static final Duration MEAN_INTERVAL = Duration.ofMillis(30);
    private static final Duration ANSWER_MARGIN = Duration.ofSeconds(8);
    private static final int RECENT_KEYS = 30;

    private final FaultSite site;
    private final UniformRandomProvider random;
    private final List<String> recentKeys = new ArrayList<>();
    private long nextCall;
    private int bursts;
    private int burstTeam;
    private long answered;
    private long refused;
    private long unknown;

    SimulatedCallers(FaultSite site, UniformRandomProvider random) {
        this.site = site;
        this.random = random;
    }

    void start() {
        long mean = MEAN_INTERVAL.toNanos() / (bursts > 0 ? 4 : 1);
        site.time().schedule(Duration.ofNanos((long) (random.nextDouble() * 2 * mean)), () -> {
            if (!site.callersStopped()) {
                List<EntryProcess> live = site.processes();
                if (!live.isEmpty()) {
                    call(live.get(random.nextInt(live.size())));
                }
                start();
            }
        });
    }

    void burst(int change, int team) {
        bursts += change;
        burstTeam = team;
    }

    String counts() {
        return "answered=" + answered + " refused=" + refused + " unknown=" + unknown;
    }

    long calls() {
        return nextCall;
    }

    long answered() {
        return answered;
    }

    private void call(EntryProcess process) {
        int team = bursts > 0 ? burstTeam % FaultSite.TEAMS.size() : random.nextInt(FaultSite.TEAMS.size());
        boolean nonIdempotent = random.nextInt(3) > 0;
        Optional<String> key =
                nonIdempotent && random.nextInt(4) > 0 ? Optional.of(idempotencyKey()) : Optional.empty();
        Call call = new Call(nextCall++, process, FaultSite.TEAMS.get(team), nonIdempotent, key);
        RequestSpec spec = new RequestSpec(
                nonIdempotent ? "invoice" : "quote",
                Optional.of(call.keyName()),
                key,
                Optional.empty(),
                RequestSpec.Priority.NORMAL);
        process.time().deliver(() -> process.host().broker().submit(spec, call));
        scheduleEndCheck(call);
    }

    private String idempotencyKey() {
        if (!recentKeys.isEmpty() && random.nextInt(4) == 0) {
            return recentKeys.get(random.nextInt(recentKeys.size()));
        }
        String key = "id-" + nextCall;
        recentKeys.add(key);
        if (recentKeys.size() > RECENT_KEYS) {
            recentKeys.remove(0);
        }
        return key;
    }

    private void scheduleEndCheck(Call call) {
        long pauses = call.process.time().running() ? call.process.pauseCount() : -1;
        site.time().schedule(FaultSite.REQUEST_DEADLINE.plus(ANSWER_MARGIN), () -> {
            boolean interrupted = call.process.time().killed() || call.process.pauseCount() != pauses;
            site.guarantees()
                    .check(
                            interrupted || call.ends == 1,
                            ServiceGuarantees.Guarantee.ANSWERED_BY_DEADLINE,
                            call + " has not ended exactly once");
        });
    }

    /** A caller's request with the number of its starts at workers and of its ends at the caller. */
    final class Call implements RequestBroker.RequestObserver {
        private final long number;
        private final EntryProcess process;
        private final String team;
        private final boolean nonIdempotent;
        private final Optional<String> idempotencyKey;
        private final String keyName;
        private int starts;
        private int ends;
        private boolean notRun;

        private Call(
                long number,
                EntryProcess process,
                String team,
                boolean nonIdempotent,
                Optional<String> idempotencyKey) {
            this.number = number;
            this.process = process;
            this.team = team;
            this.nonIdempotent = nonIdempotent;
            this.idempotencyKey = idempotencyKey;
            this.keyName = site.operators().keyName(team);
        }

        boolean nonIdempotent() {
            return nonIdempotent;
        }

        Optional<String> idempotencyKey() {
            return idempotencyKey;
        }

        String keyName() {
            return keyName;
        }

        void started() {
            starts++;
        }

        int starts() {
            return starts;
        }

        int ends() {
            return ends;
        }

        boolean refusedAsNotRun() {
            return notRun;
        }

        @Override
        public void onAttempt(Attempt attempt) {
            process.sendAttempt(this, attempt);
        }

        void answered(Call answerOf) {
            answered++;
            ends++;
            site.guarantees().checkCallEnd(this, Optional.of(answerOf));
        }

        @Override
        public void onRefused(Refusal refusal) {
            ends++;
            notRun = refusal.outcome() == Refusal.Outcome.NOT_RUN;
            refused += notRun ? 1 : 0;
            unknown += notRun ? 0 : 1;
            site.guarantees().checkCallEnd(this, Optional.empty());
        }

        @Override
        public String toString() {
            return "call " + number + " of " + team + " at " + process
                    + idempotencyKey.map(k -> " " + k).orElse("");
        }
    }
}
