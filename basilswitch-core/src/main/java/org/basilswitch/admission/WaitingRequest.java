package org.basilswitch.admission;

import org.basilswitch.dispatch.RequestSpec.Priority;

/** A request as the fair queue sees it. */
public interface WaitingRequest {

    /** Team that the request runs for. */
    String team();

    /** Priority. */
    Priority priority();
}
