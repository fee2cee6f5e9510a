package org.basilswitch.daemon.peer;

import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.peer.PeerMessage;

/** Encodes peer messages as frames. */
public interface FrameCodec {

    /** Encodes a message. */
    byte[] encode(PeerMessage message);

    /** Decodes a frame: empty when it is of a kind that only a newer version knows; left when it is no message. */
    Either<String, Optional<PeerMessage>> decode(byte[] frame);
}
