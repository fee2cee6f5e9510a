package org.basilswitch.cli.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.bench.load.LoadOptions;
import org.basilswitch.bench.load.LoadStream;
import org.basilswitch.bench.load.RatePattern;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;

/** Load of the demo: each team sends to each queue at a rate by its share weight, and each queue in turn gets a burst. */
final class DemoLoad {
    private static final Duration BURST_DURATION = Duration.ofSeconds(3);
    private static final double QUEUE_RATE_PER_SECOND = 80;
    private static final double SERVICE_MS = 200;
    private static final int MAX_OPEN_REQUESTS = 4000;
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final String OPEN_TEAM = "open";
    private static final long SEED = 1;

    private DemoLoad() {}

    static LoadOptions options(DemoSite site, DemoFleet fleet, Duration duration) {
        List<LoadStream> streams = new ArrayList<>();
        List<Queue> queues = site.queues();
        for (int turn = 0; turn < queues.size(); turn++) {
            RatePattern pattern = new RatePattern.Alternating(turn, queues.size(), BURST_DURATION);
            addStreams(streams, site.teams(), queues.get(turn), pattern);
        }
        return new LoadOptions(streams, fleet.targets(), duration, MAX_OPEN_REQUESTS, 0, "demo", SEED);
    }

    private static void addStreams(List<LoadStream> streams, List<Team> teams, Queue queue, RatePattern pattern) {
        if (queue.openToAll()) {
            streams.add(stream(OPEN_TEAM, Optional.empty(), queue, QUEUE_RATE_PER_SECOND, pattern));
            return;
        }
        double weights = teams.stream().mapToInt(Team::shareWeight).sum();
        for (Team team : teams) {
            double rate = QUEUE_RATE_PER_SECOND * team.shareWeight() / weights;
            streams.add(stream(team.name(), Optional.of(DemoSite.secret(team)), queue, rate, pattern));
        }
    }

    private static LoadStream stream(
            String team, Optional<String> secret, Queue queue, double rate, RatePattern pattern) {
        return new LoadStream(team, secret, queue.name(), queue.idempotent(), rate, SERVICE_MS, DEADLINE, pattern);
    }
}
