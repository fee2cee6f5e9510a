package org.basilswitch.dispatch;

/** Accepts requests and decides when and where each is attempted, or why it is refused. */
public interface RequestBroker {

    /**
     * Submits a request whose key has not been checked yet.
     *
     * @param spec the request's path and headers as typed fields
     * @param observer receives each attempt to make and any refusal; never called during this call
     * @return a handle that cancels the request
     */
    RequestHandle submit(RequestSpec spec, RequestObserver observer);

    /** Stops accepting requests; requests already accepted are completed. */
    void drain();

    /** Returns the number of submitted requests that have not ended. */
    int openRequests();

    /** Handle of a submitted request. */
    interface RequestHandle {
        /** Cancels the request because its caller has disconnected. */
        void cancel();
    }

    /** Performs the attempts of a request. */
    interface RequestObserver {
        /** Sends the request to the attempt's backend server and reports the result to the attempt. */
        void onAttempt(Attempt attempt);

        /** Ends the request without an attempt, or without a further one. */
        void onRefused(Refusal refusal);
    }
}
