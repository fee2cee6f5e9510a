package org.basilswitch.peer.codec;

import java.util.Optional;

import io.vavr.control.Either;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolException;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransportException;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.wire.WireEnvelope;

/**
 * Encodes each peer message as one Thrift envelope, in the compact protocol and without a length prefix.
 *
 * <p>Unknown fields are skipped and absent fields read as zero or empty, so that hosts of two versions interoperate.
 */
public final class PeerCodec {
    /** Largest encoded message, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final TConfiguration DECODING_LIMITS = TConfiguration.custom()
            .setMaxMessageSize(MAX_MESSAGE_BYTES)
            .setMaxFrameSize(MAX_MESSAGE_BYTES)
            .setRecursionLimit(16)
            .build();

    private PeerCodec() {}

    /** Encodes a message as a Thrift envelope. */
    public static byte[] encode(PeerMessage message) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            WireWriter.envelope(message).write(new TCompactProtocol(buffer));
            byte[] bytes = new byte[buffer.length()];
            System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
            return bytes;
        } catch (TException e) {
            throw new IllegalArgumentException("cannot encode message of " + message.getClass(), e);
        }
    }

    /** Decodes a message; malformed bytes give an error, not an exception. */
    public static Either<DecodeError, PeerMessage> decode(byte[] bytes) {
        if (bytes.length == 0 || bytes.length > MAX_MESSAGE_BYTES) {
            return Either.left(new DecodeError.Malformed("length " + bytes.length));
        }
        try {
            WireEnvelope envelope = new WireEnvelope();
            TMemoryInputTransport input = new TMemoryInputTransport(DECODING_LIMITS, bytes);
            envelope.read(new TCompactProtocol(input, bytes.length, bytes.length));
            if (input.getBytesRemainingInBuffer() > 0) {
                return Either.left(new DecodeError.Malformed("trailing bytes after the envelope"));
            }
            Optional<PeerMessage> message = WireReader.message(envelope);
            return message.<Either<DecodeError, PeerMessage>>map(Either::right)
                    .orElseGet(() -> Either.left(new DecodeError.UnknownKind("envelope has no known field")));
        } catch (TProtocolException | TTransportException e) {
            return Either.left(new DecodeError.Malformed(String.valueOf(e.getMessage())));
        } catch (TException | RuntimeException e) {
            return Either.left(new DecodeError.Malformed(e.getClass().getSimpleName()));
        }
    }
}
