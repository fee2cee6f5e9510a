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
 * @param address IP address and port of the sender's peer port; a host is answered there before it is a member
 */
record Hello(String protocol, String site, String member, String address) {
    private static final String PROTOCOL = "basilswitch-peer";

    static Hello of(String site, MemberId member, String address) {
        return new Hello(PROTOCOL, site, member.value(), address);
    }

    byte[] encode() {
        return RecordCodec.encode(this);
    }

    static Optional<Hello> decode(byte[] frame) {
        return RecordCodec.decode(frame, Hello.class)
                .filter(hello -> PROTOCOL.equals(hello.protocol) && hello.site != null && hello.member != null)
                .filter(hello -> hello.address != null && hello.address.matches(".+:\\d{1,5}"));
    }
}
