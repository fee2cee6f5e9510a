package second;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Lines of record.txt, with the time since the start in seconds. */
final class Journal {
    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void add(String line) {
        String timed = String.format("%8.3f %s", (System.nanoTime() - startNanos) / 1e9, line);
        lines.add(timed);
    }

    synchronized void print(String line) {
        add(line);
        System.out.println(lines.get(lines.size() - 1));
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
