package org.basilswitch.daemon.peer;

import java.util.Optional;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.peer.MemberId;

/**
 * The first frame of a connection.
 *
 * @param protocol names this protocol
 * @param site site of the sender; the receiver's must be the same
 * @param member identifier of the sender's run
 */
record Hello(String protocol, String site, String member) {
    private static final String PROTOCOL = "basilswitch-peer";

    static Hello of(String site, MemberId member) {
        return new Hello(PROTOCOL, site, member.value());
    }

    byte[] encode() {
        return RecordCodec.encode(this);
    }

    static Optional<Hello> decode(byte[] frame) {
        return RecordCodec.decode(frame, Hello.class)
                .filter(hello -> PROTOCOL.equals(hello.protocol) && hello.site != null && hello.member != null);
    }
}
