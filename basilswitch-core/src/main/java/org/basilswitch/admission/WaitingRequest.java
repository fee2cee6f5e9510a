package org.basilswitch.admission;

import org.basilswitch.dispatch.RequestSpec.Priority;

/** A request as seen by the fair queue. */
public interface WaitingRequest {

    /** Returns the team that the request runs for. */
    String team();

    /** Returns the request's priority. */
    Priority priority();
}
