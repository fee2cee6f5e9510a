package org.basilswitch.peer;

/** Sends messages to other entry hosts; messages may be lost, delayed, duplicated or arrive out of order. */
public interface PeerLink {

    /** Sends a message without blocking and without reporting whether it arrives. */
    void send(MemberId to, PeerMessage message);
}
