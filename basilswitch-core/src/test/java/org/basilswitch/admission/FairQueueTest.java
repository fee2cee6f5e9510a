package org.basilswitch.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.dispatch.RequestSpec.Priority;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the order of waiting requests, the starvation limit and the counts. */
public final class FairQueueTest {
    private record Item(int number, String team, Priority priority) implements WaitingRequest {}

    /** Teams that always have waiting requests are served in proportion to their weights. */
    @Test
    public void backloggedTeamsAreServedByWeight() {
        FairQueue<Item> queue = FairQueue.create();
        Map<String, Double> weights = Map.of("a", 4.0, "b", 2.0, "c", 1.0);
        Map<String, Integer> served = new HashMap<>();
        int number = 0;
        for (String team : weights.keySet()) {
            queue.add(new Item(number++, team, Priority.NORMAL));
        }
        for (int i = 0; i < 700; i++) {
            Item item = queue.take(any -> true, it -> served.getOrDefault(it.team(), 0) / weights.get(it.team()))
                    .orElseThrow();
            served.merge(item.team(), 1, Integer::sum);
            queue.add(new Item(number++, item.team(), Priority.NORMAL));
        }
        weights.forEach((team, weight) -> assertEquals(served.get(team), 100 * weight, 1.0, team));
    }

    /** Urgent requests go first, yet a background request is served after a bounded number of starts. */
    @Test
    public void lowerPrioritiesAreServedWithinStartLimit() {
        FairQueue<Item> queue = FairQueue.create();
        queue.add(new Item(-1, "a", Priority.BACKGROUND));
        queue.add(new Item(-2, "a", Priority.NORMAL));
        int starts = 0;
        Item item = new Item(0, "a", Priority.URGENT);
        while (item.priority() != Priority.BACKGROUND) {
            queue.add(new Item(starts, "a", Priority.URGENT));
            item = queue.take(any -> true, it -> 0).orElseThrow();
            starts++;
            assertTrue(starts <= FairQueue.MAX_SKIPPED_STARTS + 2, "starts " + starts);
        }
        assertTrue(starts > FairQueue.MAX_SKIPPED_STARTS / 2);
    }

    /** Seeds of the random runs. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** Over random additions, removals, takes and returns, each request leaves exactly once and the counts match. */
    @Test(dataProvider = "seeds")
    public void eachRequestLeavesOnceAndCountsMatch(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        FairQueue<Item> queue = FairQueue.create();
        Set<Item> expected = new HashSet<>();
        for (int step = 0; step < 20_000; step++) {
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    Item item = new Item(step, "t" + random.nextInt(4), Priority.values()[random.nextInt(3)]);
                    queue.add(item);
                    expected.add(item);
                }
                case 2 ->
                    expected.stream().findAny().ifPresent(item -> {
                        assertTrue(queue.remove(item));
                        assertTrue(!queue.remove(item));
                        expected.remove(item);
                    });
                case 3 -> {
                    String blocked = "t" + random.nextInt(4);
                    Optional<Item> taken = queue.take(it -> !it.team().equals(blocked), Item::number);
                    taken.ifPresent(item ->
                            assertTrue(expected.remove(item) && !item.team().equals(blocked)));
                }
                default -> queue.take(it -> true, Item::number).ifPresent(queue::addFirst);
            }
            assertEquals(queue.size(), expected.size());
        }
        assertEquals(new HashSet<>(queue.all()), expected);
    }
}
