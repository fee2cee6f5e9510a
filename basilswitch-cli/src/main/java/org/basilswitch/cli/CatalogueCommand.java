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

/** Prints pages of the documentation that are written from the code. */
@Command(
        name = "catalogue",
        mixinStandardHelpOptions = true,
        description = "Prints the catalogue of log events or of metrics.")
final class CatalogueCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "PAGE", description = "One of: ${COMPLETION-CANDIDATES}.")
    private Page page;

    /** The pages. */
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
