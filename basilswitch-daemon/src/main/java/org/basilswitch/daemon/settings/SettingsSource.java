package org.basilswitch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vavr.control.Either;

/**
 * The text of a base or an overlay.
 *
 * @param name name in messages, such as the file's path
 * @param text JSON with comments
 */
public record SettingsSource(String name, String text) {

    /** Reads a file as UTF-8. */
    public static Either<SettingsProblem, SettingsSource> read(Path path) {
        try {
            return Either.right(new SettingsSource(path.toString(), Files.readString(path)));
        } catch (IOException e) {
            return Either.left(new SettingsProblem.Unreadable(path.toString(), e.toString()));
        }
    }
}
