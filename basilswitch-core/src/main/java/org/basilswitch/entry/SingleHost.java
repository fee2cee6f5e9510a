package org.basilswitch.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;
import org.basilswitch.dispatch.RequestClaims;
import org.basilswitch.limit.TeamLimits;
import org.basilswitch.membership.ServingAuthority;

/** Limits, claims and authority of a site with a single entry host, which has nobody to agree with. */
final class SingleHost implements ServingAuthority, TeamLimits, RequestClaims {
    private static final Duration AUTHORITY_TIME = Duration.ofDays(1);

    private final Supplier<SiteConfiguration> configuration;
    private final Map<String, Integer> busy = new HashMap<>();
    private final Set<String> claimed = new HashSet<>();
    private final List<Consumer<String>> listeners = new ArrayList<>();

    SingleHost(Supplier<SiteConfiguration> configuration) {
        this.configuration = configuration;
    }

    @Override
    public boolean mayStart() {
        return true;
    }

    @Override
    public Duration remaining() {
        return AUTHORITY_TIME;
    }

    @Override
    public boolean tryAcquire(String team) {
        if (busy.getOrDefault(team, 0) >= allotted(team)) {
            return false;
        }
        busy.merge(team, 1, Integer::sum);
        return true;
    }

    @Override
    public void release(String team) {
        busy.merge(team, -1, Integer::sum);
        listeners.forEach(listener -> listener.accept(team));
    }

    @Override
    public void onAvailable(Consumer<String> listener) {
        listeners.add(listener);
    }

    @Override
    public int allotted(String team) {
        Team record = configuration.get().teams().get(team);
        return record == null ? Integer.MAX_VALUE : record.limitTasks();
    }

    @Override
    public CompletionStage<ClaimResult> claim(
            String queue, String idempotencyKey, Duration claimTime, Duration timeout) {
        boolean granted = claimed.add(queue + '/' + idempotencyKey);
        return CompletableFuture.completedFuture(granted ? new Granted() : new Duplicate());
    }

    @Override
    public void release(String queue, String idempotencyKey) {
        claimed.remove(queue + '/' + idempotencyKey);
    }
}
