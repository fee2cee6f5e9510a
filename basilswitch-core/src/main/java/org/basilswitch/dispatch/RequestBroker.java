package org.basilswitch.dispatch;

/** Accepts requests and decides when and where each is attempted, or why it is refused. */
public interface RequestBroker {

    /**
     * Submits a request whose key has not been checked yet.
     *
     * @param spec the request's headers as typed fields
     * @param observer is told of each attempt to make and of a refusal; never during this call
     * @return cancels the request
     */
    RequestHandle submit(RequestSpec spec, RequestObserver observer);

    /** Stops accepting; requests already accepted are completed. */
    void drain();

    /** Requests accepted and not ended. */
    int openRequests();

    /** A submitted request. */
    interface RequestHandle {
        /** Cancels the request because its caller has gone away. */
        void cancel();
    }

    /** Carries out a request's attempts. */
    interface RequestObserver {
        /** Sends the request to the attempt's backend server and reports back through it. */
        void attempt(Attempt attempt);

        /** Ends the request without (a further) attempt. */
        void refused(Refusal refusal);
    }
}
