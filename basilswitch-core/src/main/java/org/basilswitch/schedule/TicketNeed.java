package org.basilswitch.schedule;

import java.util.List;
import java.util.function.Predicate;

import org.basilswitch.job.StepSpec;

/**
 * A step with work items that wait for servers which the advice service allows.
 *
 * @param step name of the step
 * @param servers usable servers of the queue's pool that have the required label
 * @param hasRoom tests whether a waiting work item would start on a server if it were allowed
 * @param spec spec of the step
 * @param startCount number of work items that have to start together: the members of a gang, or 1
 */
record TicketNeed(
        String step, List<TrackedServer> servers, Predicate<TrackedServer> hasRoom, StepSpec spec, int startCount) {

    /** Returns how many work items fit on a server. */
    int places(TrackedServer server) {
        int most = spec.maxPerServer() == 0 ? startCount : Math.min(startCount, spec.maxPerServer());
        int places = 0;
        while (places < most && spec.reserved().times(places + 1).fitsInto(server.free())) {
            places++;
        }
        return places;
    }
}
