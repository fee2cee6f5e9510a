package org.basilswitch.schedule;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.basilswitch.job.AdviceTimes;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/**
 * A step with work items that wait for servers which the advice service allows.
 *
 * @param queue name of the step's queue
 * @param times times of the advice service for the queue
 * @param step name of the step
 * @param servers usable servers of the queue's pool that have the required label
 * @param hasRoom tests whether a waiting work item would start on a server if it were allowed
 * @param preference returns how much a server is preferred if it is allowed, above 0
 * @param spec spec of the step
 * @param waitingCount number of waiting work items
 */
record TicketNeed(
        String queue,
        AdviceTimes times,
        String step,
        List<TrackedServer> servers,
        Predicate<TrackedServer> hasRoom,
        ToDoubleFunction<TrackedServer> preference,
        StepSpec spec,
        int waitingCount) {

    /** Returns how many of the waiting work items fit on a server. */
    int places(TrackedServer server) {
        Resources item = spec.reserved();
        Resources free = server.free();
        long places = spec.maxPerServer() == 0 ? waitingCount : Math.min(waitingCount, spec.maxPerServer());
        places = fitting(places, item.cpuMillis(), free.cpuMillis());
        places = fitting(places, item.memoryMb(), free.memoryMb());
        places = fitting(places, item.gpus(), free.gpus());
        return (int) Math.max(0, places);
    }

    private static long fitting(long most, long used, long free) {
        return used == 0 ? most : Math.min(most, free / used);
    }
}
