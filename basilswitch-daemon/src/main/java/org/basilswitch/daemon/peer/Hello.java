package org.basilswitch.daemon.peer;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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
    private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:]+:(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    static Hello of(String site, MemberId member, String address) {
        return new Hello(PROTOCOL, site, member.value(), address);
    }

    byte[] encode() {
        return RecordCodec.encode(this);
    }

    static Optional<Hello> decode(byte[] frame) {
        return RecordCodec.decode(frame, Hello.class)
                .filter(hello -> PROTOCOL.equals(hello.protocol) && hello.site != null && hello.member != null)
                .filter(hello -> hello.address != null && isAddress(hello.address));
    }

    private static boolean isAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        return matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAX_PORT;
    }
}
