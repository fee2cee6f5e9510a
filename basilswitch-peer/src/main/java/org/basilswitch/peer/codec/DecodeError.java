package org.basilswitch.peer.codec;

/** Reason for which bytes received from a peer cannot be decoded as a message. */
public sealed interface DecodeError {

    /** Returns a description of the error, for logs. */
    String detail();

    /** The bytes are not a valid envelope; the connection must be closed. */
    record Malformed(String detail) implements DecodeError {}

    /** The message is of a kind that only a newer version knows; it is ignored and the connection kept. */
    record UnknownKind(String detail) implements DecodeError {}
}
