package org.basilswitch.daemon.peer;

import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.peer.PeerMessage;

/** Encodes peer messages as frames and decodes them. */
public interface FrameCodec {

    /** Encodes a message as the payload of one frame. */
    byte[] encode(PeerMessage message);

    /** Decodes a frame: empty for a message kind of a newer version; left, with the reason, when it is malformed. */
    Either<String, Optional<PeerMessage>> decode(byte[] frame);
}
