package org.basilswitch.cli.admin;

/** Ends a command; the message says what failed and how to correct it. */
final class CommandFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CommandFailure(String message) {
        super(message);
    }
}
