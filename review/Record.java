package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script in seconds. */
final class Record implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the milliseconds since the start of the script. */
    static long nowMs() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void line(String text) {
        writer.println(String.format(Locale.ROOT, "%8.3f %s", nowMs() / 1000.0, text));
        writer.flush();
    }

    @Override
    public void close() {
        writer.close();
    }
}
