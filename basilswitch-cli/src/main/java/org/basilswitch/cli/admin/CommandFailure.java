package org.basilswitch.cli.admin;

/** Ends a command with a message that names the remedy. */
final class CommandFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CommandFailure(String message) {
        super(message);
    }
}
