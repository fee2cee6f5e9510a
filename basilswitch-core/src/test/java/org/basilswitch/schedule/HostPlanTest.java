package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class HostPlanTest {

    private static HostPlan.PoolNeed pool(String name, int needed, int keep, int busy, int idle) {
        List<HostPlan.PoolHost> hosts = IntStream.range(0, busy + idle)
                .mapToObj(i -> new HostPlan.PoolHost(name + i, i >= busy, i >= busy))
                .toList();
        return new HostPlan.PoolNeed(name, needed, keep, hosts);
    }

    /** Load pattern: rotating peaks, one pool at several times its mean load while the others are idle. */
    @Test
    public void peakTakesIdleHostsOfOtherPoolsBeforeStandbyHosts() {
        List<HostPlan.Move> moves =
                HostPlan.planMoves(List.of(pool("peak", 5, 5, 2, 0), pool("calm", 1, 2, 1, 3)), List.of("r0", "r1"));
        assertEquals(
                moves,
                List.of(
                        new HostPlan.Move("calm1", Optional.of("peak")),
                        new HostPlan.Move("calm2", Optional.of("peak")),
                        new HostPlan.Move("r0", Optional.of("peak"))));
    }

    @Test
    public void idleHostsBeyondRetainedMoveToStandby() {
        List<HostPlan.Move> moves = HostPlan.planMoves(List.of(pool("calm", 1, 3, 1, 4)), List.of());
        assertEquals(
                moves,
                List.of(new HostPlan.Move("calm1", Optional.empty()), new HostPlan.Move("calm2", Optional.empty())));
    }

    @Test
    public void busyHostsAreNotMoved() {
        assertEquals(
                HostPlan.planMoves(List.of(pool("peak", 9, 9, 2, 0), pool("busy", 1, 1, 6, 0)), List.of()), List.of());
    }
}
