package org.basilswitch.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;

/**
 * Runs the controllers of the pools for which this entry host is a candidate.
 *
 * <p>For each pool, only the two members that rank first by {@link CandidateRank} campaign for the leadership, which
 * limits the number of leadership records polled in the store.
 */
public final class FleetControllers implements AutoCloseable {
    private static final Duration CANDIDACY_UPDATE_INTERVAL = Duration.ofSeconds(1);
    private static final int CANDIDATES_PER_POOL = 2;

    private final FleetContext context;
    private final MemberId self;
    private final Supplier<List<Member>> members;
    private final PoolDemand demand;
    private final Map<String, PoolController> controllers = new HashMap<>();
    private boolean closed;

    private FleetControllers(FleetContext context, MemberId self, Supplier<List<Member>> members, PoolDemand demand) {
        this.context = context;
        this.self = self;
        this.members = members;
        this.demand = demand;
    }

    /**
     * Creates the controllers of one entry host.
     *
     * @param context collaborators and options
     * @param self this entry host
     * @param members members record, as last read by this host
     * @param demand demand of the pools across the fleet
     */
    public static FleetControllers create(
            FleetContext context, MemberId self, Supplier<List<Member>> members, PoolDemand demand) {
        return new FleetControllers(context, self, members, demand);
    }

    /** Starts campaigning for the leadership of the pools. */
    public void start() {
        updateCandidacies();
    }

    private void updateCandidacies() {
        if (closed) {
            return;
        }
        List<Member> currentMembers = members.get();
        for (String pool : context.configuration().get().pools().keySet()) {
            int rank = CandidateRank.of(pool, currentMembers, self);
            if (rank < CANDIDATES_PER_POOL && !controllers.containsKey(pool)) {
                open(pool, rank);
            } else if (rank >= CANDIDATES_PER_POOL) {
                close(pool);
            }
        }
        for (String pool : new ArrayList<>(controllers.keySet())) {
            if (!context.configuration().get().pools().containsKey(pool)) {
                close(pool);
            }
        }
        context.scheduler().schedule(CANDIDACY_UPDATE_INTERVAL, this::updateCandidacies);
    }

    private void open(String pool, int rank) {
        PoolController controller = PoolController.create(context, pool, self, demand);
        controllers.put(pool, controller);
        controller.start(context.options().leaderLease().multipliedBy(rank));
    }

    private void close(String pool) {
        PoolController controller = controllers.remove(pool);
        if (controller != null) {
            controller.close();
        }
    }

    /** Returns the sorted names of the pools that this entry host controls now. */
    public List<String> controlledPools() {
        return controllers.entrySet().stream()
                .filter(entry -> entry.getValue().isLeader())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    @Override
    public void close() {
        closed = true;
        List.copyOf(controllers.keySet()).forEach(this::close);
    }
}
