package org.basilswitch.daemon.settings;

/**
 * A location in a settings file.
 *
 * @param file name of the file
 * @param line line, from 1
 * @param column column, from 1
 */
public record SourceLocation(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
