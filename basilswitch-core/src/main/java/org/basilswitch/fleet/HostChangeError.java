package org.basilswitch.fleet;

/** Why a host was not changed; each message names the remedy. */
public sealed interface HostChangeError {

    /** What to do about it. */
    String remedy();

    /** The host does not exist. */
    record HostUnknown(String host) implements HostChangeError {
        @Override
        public String remedy() {
            return "host " + host + " does not exist; check its name";
        }
    }

    /** The table of steps does not allow the change. */
    record TransitionNotAllowed(String host, String from, String to) implements HostChangeError {
        @Override
        public String remedy() {
            return "host " + host + " is " + from + " and can't become " + to + "; wait for its current step to end";
        }
    }

    /** The pool's availability budget has no room. */
    record BudgetExhausted(String pool, int activeHosts, int minAvailableHosts) implements HostChangeError {
        @Override
        public String remedy() {
            return "pool " + pool + " has " + activeHosts + " active hosts and has to keep " + minAvailableHosts
                    + "; wait for hosts to return, lend it hosts or lower its minAvailableHosts";
        }
    }

    /** Only a drained host changes pools. */
    record NotDrained(String host, String state) implements HostChangeError {
        @Override
        public String remedy() {
            return "host " + host + " is " + state + "; drain it first";
        }
    }

    /** Another change came first, or this host's view is behind; nothing was written. */
    record Contended(String detail) implements HostChangeError {
        @Override
        public String remedy() {
            return "another change came first (" + detail + "); look again and retry";
        }
    }

    /** The store did not say whether the change was written. */
    record OutcomeUnknown(String detail) implements HostChangeError {
        @Override
        public String remedy() {
            return "the store's answer was lost (" + detail + "); look at the host's record before retrying";
        }
    }

    /** The store can't be used now; nothing was written. */
    record StoreUnavailable(String detail) implements HostChangeError {
        @Override
        public String remedy() {
            return "the store refused (" + detail + "); retry when it is back";
        }
    }
}
