package org.basilswitch.daemon.peer;

import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.codec.DecodeError;
import org.basilswitch.peer.codec.PeerCodec;

/** Encodes peer messages in Thrift's compact protocol. */
public final class ThriftFrameCodec implements FrameCodec {
    private ThriftFrameCodec() {}

    /** Creates a codec. */
    public static ThriftFrameCodec create() {
        return new ThriftFrameCodec();
    }

    @Override
    public byte[] encode(PeerMessage message) {
        return PeerCodec.encode(message);
    }

    @Override
    public Either<String, Optional<PeerMessage>> decode(byte[] frame) {
        return PeerCodec.decode(frame).fold(ThriftFrameCodec::onError, message -> Either.right(Optional.of(message)));
    }

    private static Either<String, Optional<PeerMessage>> onError(DecodeError error) {
        return switch (error) {
            case DecodeError.Malformed malformed -> Either.left(malformed.detail());
            case DecodeError.UnknownKind unknown -> Either.right(Optional.empty());
        };
    }
}
