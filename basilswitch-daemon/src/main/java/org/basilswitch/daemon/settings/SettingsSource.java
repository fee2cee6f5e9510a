package org.basilswitch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vavr.control.Either;

/**
 * The text of a base file or an overlay.
 *
 * @param name name for messages, such as the path of the file
 * @param text JSON with comments
 */
public record SettingsSource(String name, String text) {

    /** Reads a file as UTF-8; returns a problem if it is not readable. */
    public static Either<SettingsProblem, SettingsSource> read(Path path) {
        try {
            return Either.right(new SettingsSource(path.toString(), Files.readString(path)));
        } catch (IOException e) {
            return Either.left(new SettingsProblem.Unreadable(path.toString(), e.toString()));
        }
    }
}
