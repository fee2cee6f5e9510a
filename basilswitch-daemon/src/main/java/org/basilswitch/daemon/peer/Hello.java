package org.basilswitch.daemon.peer;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.peer.MemberId;

/**
 * The first frame on a peer connection, which identifies the sender.
 *
 * @param protocol name of the peer protocol
 * @param site site of the sender; must equal the receiver's
 * @param member identifier of the sender's process incarnation
 * @param address IP address and port of the sender's peer port; used to reply to a host that is not a member yet
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
