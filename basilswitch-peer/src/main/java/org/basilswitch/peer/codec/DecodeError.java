package org.basilswitch.peer.codec;

/** Why bytes on the peer port are not a message. */
public sealed interface DecodeError {

    /** What was found, for logs. */
    String detail();

    /** The bytes are no envelope, or a field that every version sends is missing; close the connection. */
    record Malformed(String detail) implements DecodeError {}

    /** A message of a kind that a newer version sends; ignore it and keep the connection. */
    record UnknownKind(String detail) implements DecodeError {}
}
