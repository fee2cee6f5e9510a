package org.basilswitch.cli.bench;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.basilswitch.bench.slopes.ControlCostBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench slopes}: measures control cost by fleet size and prints the tables of docs/CAPACITY.md. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description =
                "Measures an entry host's control cost at several fleet sizes and prints the tables of docs/CAPACITY.md.")
final class SlopesCommand implements Callable<Integer> {
    private static final String BEGIN = "<!-- slopes: basilswitch bench slopes -->";
    private static final String END = "<!-- end of slopes -->";

    @Option(names = "--seconds", description = "Virtual seconds for each size (default: ${DEFAULT-VALUE}).")
    private int seconds = 60;

    @Option(names = "--page", description = "Also replaces the tables in this page, between the marker lines.")
    private Optional<Path> page = Optional.empty();

    @Override
    public Integer call() throws IOException {
        ByteArrayOutputStream table = new ByteArrayOutputStream();
        ControlCostBench.print(new PrintStream(table, true, StandardCharsets.UTF_8), Duration.ofSeconds(seconds));
        String text = table.toString(StandardCharsets.UTF_8);
        System.out.print(text);
        if (page.isPresent()) {
            replaceTable(page.get(), text);
        }
        return 0;
    }

    private static void replaceTable(Path page, String table) throws IOException {
        String old = Files.readString(page);
        int from = old.indexOf(BEGIN);
        int to = old.indexOf(END);
        if (from < 0 || to < from) {
            throw new IOException(page + " does not contain the marker lines " + BEGIN + " and " + END);
        }
        Files.writeString(page, old.substring(0, from) + BEGIN + "\n" + table + old.substring(to));
    }
}
