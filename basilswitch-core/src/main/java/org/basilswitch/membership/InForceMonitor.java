package org.basilswitch.membership;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Tells when an accepted change is in force, and at which entry hosts. */
public interface InForceMonitor {

    /**
     * Waits until a change is in force: a majority of the members has acknowledged it, so that no entry host starts
     * work on an older configuration.
     *
     * @param revision store revision of the change
     * @param timeout longest wait
     * @return the state when the change came into force, or at the timeout; completes on the event loop
     */
    CompletionStage<Acknowledgement> await(long revision, Duration timeout);

    /**
     * How far a change has come.
     *
     * @param inForce whether a majority has acknowledged it
     * @param acknowledged members that have acknowledged it
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
