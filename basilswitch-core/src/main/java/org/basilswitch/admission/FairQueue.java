package org.basilswitch.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.basilswitch.dispatch.RequestSpec.Priority;

/**
 * Waiting requests of one pool, ordered by priority, then by the team with the lowest weighted virtual time, then by
 * arrival.
 *
 * <p>A priority that had waiting requests during {@value #MAX_SKIPPED_STARTS} starts of higher priorities is served
 * next, so that none starves.
 *
 * @param <T> type of the waiting requests
 */
public final class FairQueue<T extends WaitingRequest> {
    /** Number of starts of higher priorities after which a lower priority with waiting requests is served. */
    public static final int MAX_SKIPPED_STARTS = 10;

    private final Map<Priority, Map<String, LinkedHashSet<T>>> waiting = new EnumMap<>(Priority.class);
    private final Map<Priority, Integer> skippedStarts = new EnumMap<>(Priority.class);
    private int size;

    private FairQueue() {
        for (Priority priority : Priority.values()) {
            waiting.put(priority, new HashMap<>());
            skippedStarts.put(priority, 0);
        }
    }

    /** Creates an empty queue. */
    public static <T extends WaitingRequest> FairQueue<T> create() {
        return new FairQueue<>();
    }

    /** Adds a request after those of its team and priority. */
    public void add(T request) {
        requestsOf(request).addLast(request);
        size++;
    }

    /** Puts a taken request back before those of its team and priority. */
    public void addFirst(T request) {
        requestsOf(request).addFirst(request);
        size++;
    }

    private LinkedHashSet<T> requestsOf(T request) {
        return waiting.get(request.priority()).computeIfAbsent(request.team(), team -> new LinkedHashSet<>());
    }

    /** Removes a request; returns whether it was waiting. */
    public boolean remove(T request) {
        LinkedHashSet<T> requests = waiting.get(request.priority()).get(request.team());
        if (requests == null || !requests.remove(request)) {
            return false;
        }
        size--;
        return true;
    }

    /**
     * Takes the next request; empty when none may start.
     *
     * @param allowed tests whether a request may start now; called in order of virtual time until it returns true
     * @param virtualTime returns the virtual time of a team's first request, by which the teams are ordered
     */
    public Optional<T> take(Predicate<T> allowed, ToDoubleFunction<T> virtualTime) {
        for (Priority priority : servingOrder()) {
            Optional<T> taken = takeFrom(priority, allowed, virtualTime);
            if (taken.isPresent()) {
                countSkippedStarts(priority);
                return taken;
            }
        }
        return Optional.empty();
    }

    private List<Priority> servingOrder() {
        List<Priority> result = new ArrayList<>(Priority.values().length);
        for (Priority priority : Priority.values()) {
            if (skippedStarts.get(priority) >= MAX_SKIPPED_STARTS) {
                result.add(priority);
            }
        }
        for (Priority priority : Priority.values()) {
            if (!result.contains(priority)) {
                result.add(priority);
            }
        }
        return result;
    }

    private void countSkippedStarts(Priority taken) {
        skippedStarts.put(taken, 0);
        for (Priority priority : Priority.values()) {
            if (priority.compareTo(taken) > 0 && !waiting.get(priority).isEmpty()) {
                skippedStarts.merge(priority, 1, Integer::sum);
            }
        }
    }

    private Optional<T> takeFrom(Priority priority, Predicate<T> allowed, ToDoubleFunction<T> virtualTime) {
        Map<String, LinkedHashSet<T>> teams = waiting.get(priority);
        teams.values().removeIf(LinkedHashSet::isEmpty);
        List<String> teamsByTime = new ArrayList<>(teams.keySet());
        Map<String, Double> times = new HashMap<>();
        teamsByTime.forEach(team ->
                times.put(team, virtualTime.applyAsDouble(teams.get(team).getFirst())));
        teamsByTime.sort((a, b) -> {
            int order = Double.compare(times.get(a), times.get(b));
            return order != 0 ? order : a.compareTo(b);
        });
        for (String team : teamsByTime) {
            if (allowed.test(teams.get(team).getFirst())) {
                size--;
                return Optional.of(teams.get(team).removeFirst());
            }
        }
        return Optional.empty();
    }

    /** Returns the newest matching request in a team's lowest priority, which is the first to evict. */
    public Optional<T> findNewest(String team, Predicate<T> matching) {
        for (Priority priority : List.of(Priority.BACKGROUND, Priority.NORMAL, Priority.URGENT)) {
            LinkedHashSet<T> requests = waiting.get(priority).get(team);
            if (requests == null) {
                continue;
            }
            Optional<T> newest = requests.reversed().stream().filter(matching).findFirst();
            if (newest.isPresent()) {
                return newest;
            }
        }
        return Optional.empty();
    }

    /** Returns all waiting requests. */
    public List<T> all() {
        List<T> all = new ArrayList<>(size);
        waiting.values().forEach(teams -> teams.values().forEach(all::addAll));
        return all;
    }

    /** Returns the number of waiting requests of a priority. */
    public int size(Priority priority) {
        return waiting.get(priority).values().stream()
                .mapToInt(LinkedHashSet::size)
                .sum();
    }

    /** Returns the number of waiting requests of a priority and team. */
    public int size(Priority priority, String team) {
        LinkedHashSet<T> requests = waiting.get(priority).get(team);
        return requests == null ? 0 : requests.size();
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return size;
    }
}
