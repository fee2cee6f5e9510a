package org.basilswitch.fleet;

/** The reason why a host was not changed; each message names the remedy. */
public sealed interface HostChangeError {

    /** Returns a message with the cause and the remedy. */
    String remedy();

    /** The host does not exist. */
    record HostUnknown(String host) implements HostChangeError {
        @Override
        public String remedy() {
            return "host " + host + " does not exist; check its name";
        }
    }

    /** {@link HostTransitions} does not allow the change of state. */
    record TransitionNotAllowed(String host, String from, String to) implements HostChangeError {
        @Override
        public String remedy() {
            return "host " + host + " is " + from + " and can't become " + to
                    + "; wait for its current transition to complete";
        }
    }

    /** The pool has no more active hosts than its required minimum. */
    record BudgetExhausted(String pool, int activeHosts, int minAvailableHosts) implements HostChangeError {
        @Override
        public String remedy() {
            return "pool " + pool + " has " + activeHosts + " active hosts and has to keep " + minAvailableHosts
                    + "; wait for hosts to return, lend it hosts or lower its minAvailableHosts";
        }
    }

    /** The host is not drained, so it can't move to another pool. */
    record NotDrained(String host, String state) implements HostChangeError {
        @Override
        public String remedy() {
            return "host " + host + " is " + state + "; drain it first";
        }
    }

    /** Another change was committed first, or the local configuration is stale; nothing was written. */
    record Contended(String detail) implements HostChangeError {
        @Override
        public String remedy() {
            return "another change was committed first (" + detail + "); read the host again and retry";
        }
    }

    /** The store's answer was lost; the change may or may not have been written. */
    record OutcomeUnknown(String detail) implements HostChangeError {
        @Override
        public String remedy() {
            return "the store's answer was lost (" + detail + "); read the host's record before retrying";
        }
    }

    /** The store is unavailable; nothing was written. */
    record StoreUnavailable(String detail) implements HostChangeError {
        @Override
        public String remedy() {
            return "the store refused the change (" + detail + "); retry when it is available";
        }
    }
}
