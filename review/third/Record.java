package third;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run, with the time since its start in seconds. */
final class Record implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    private Record(PrintWriter writer) {
        this.writer = writer;
    }

    static Record open(Path file) throws IOException {
        return new Record(new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String who, String what) {
        String line = String.format(Locale.ROOT, "%8.3f %-10s %s", seconds(), who, what);
        writer.println(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
