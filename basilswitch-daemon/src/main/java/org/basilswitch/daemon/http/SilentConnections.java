package org.basilswitch.daemon.http;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.http.HttpConnection;

/**
 * Closes idle connections to an address that may have gone silent, so that the next call opens a new one.
 *
 * <p>Connections can go silent without a reset, all at once. A call that times out shows only that its own connection is
 * dead; without this, each further call would find out about the next one by its own timeout. Used on the event loop.
 */
public final class SilentConnections {
    private final Map<String, Map<HttpConnection, State>> byAddress = new HashMap<>();

    /** Counts the starts and the answers of calls, which gives their order. */
    private long sequence;

    private SilentConnections() {}

    /** Creates a collection without connections. */
    public static SilentConnections create() {
        return new SilentConnections();
    }

    /** State of a connection. */
    private static final class State {
        private long lastAnswer;
        private int openCalls;
    }

    /** A call in progress on a connection. */
    public final class Call {
        private final String address;
        private final State state;
        private final long start;

        private Call(String address, State state, long start) {
            this.address = address;
            this.state = state;
            this.start = start;
        }

        /** Ends the call with a complete answer. */
        public void answered() {
            state.openCalls--;
            state.lastAnswer = ++sequence;
        }

        /** Ends the call without an answer; after a timeout, closes the idle connections without an answer since its start. */
        public void failed(boolean timedOut) {
            state.openCalls--;
            if (timedOut) {
                List.copyOf(byAddress.getOrDefault(address, Map.of()).entrySet()).stream()
                        .filter(entry -> entry.getValue().openCalls == 0 && entry.getValue().lastAnswer < start)
                        .forEach(entry -> entry.getKey().close());
            }
        }
    }

    /**
     * Records that a call begins.
     *
     * @param address host and port that the connection leads to
     */
    public Call begin(String address, HttpConnection connection) {
        State state = byAddress
                .computeIfAbsent(address, key -> new IdentityHashMap<>())
                .computeIfAbsent(connection, key -> {
                    connection.closeHandler(ignored -> forget(address, connection));
                    return new State();
                });
        state.openCalls++;
        return new Call(address, state, ++sequence);
    }

    private void forget(String address, HttpConnection connection) {
        Map<HttpConnection, State> connections = byAddress.get(address);
        if (connections != null && connections.remove(connection) != null && connections.isEmpty()) {
            byAddress.remove(address);
        }
    }
}
