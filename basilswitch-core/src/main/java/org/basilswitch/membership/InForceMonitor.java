package org.basilswitch.membership;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reports when an accepted change is in force and which entry hosts have acknowledged it. */
public interface InForceMonitor {

    /**
     * Waits until a change is in force. A change is in force once a majority of the members has acknowledged it; from
     * then on no entry host starts work on an older configuration.
     *
     * @param revision store revision of the change
     * @param timeout longest wait
     * @return the acknowledgements when the change comes into force or the timeout passes; completes on the event loop
     */
    CompletionStage<Acknowledgement> await(long revision, Duration timeout);

    /**
     * Acknowledgements of a change at one moment.
     *
     * @param inForce whether a majority of the members has acknowledged the change
     * @param acknowledged members that have acknowledged the change
     * @param members all members
     */
    record Acknowledgement(boolean inForce, List<Member> acknowledged, List<Member> members) {
        /** Copies the lists. */
        public Acknowledgement {
            acknowledged = List.copyOf(acknowledged);
            members = List.copyOf(members);
        }
    }
}
