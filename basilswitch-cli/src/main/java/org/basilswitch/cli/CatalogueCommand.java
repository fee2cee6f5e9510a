package org.basilswitch.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.basilswitch.daemon.telemetry.EventsPage;
import org.basilswitch.daemon.telemetry.MetricsPage;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints documentation pages that are generated from the code. */
@Command(
        name = "catalogue",
        mixinStandardHelpOptions = true,
        description = "Prints the list of log events or of metrics as Markdown.")
final class CatalogueCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "PAGE", description = "One of: ${COMPLETION-CANDIDATES}.")
    private Page page;

    /** The pages that can be printed. */
    enum Page {
        EVENTS,
        METRICS
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.print(
                switch (page) {
                    case EVENTS -> EventsPage.render();
                    case METRICS -> MetricsPage.render();
                });
        out.flush();
        return ExitCode.OK;
    }
}
