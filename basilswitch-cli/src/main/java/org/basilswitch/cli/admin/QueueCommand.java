package org.basilswitch.cli.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for the queues that callers send requests to. */
@Command(
        name = "queue",
        description = "Lists and changes the queues that callers send requests to.",
        subcommands = picocli.CommandLine.HelpCommand.class)
public final class QueueCommand extends AdministrationCommand {
    private static final String KIND = "queues";

    @Command(description = "Lists all queues.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows a queue with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Adds a queue or changes fields of one.")
    int set(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--pool", description = "Pool that serves the queue.") String pool,
            @Option(names = "--open-to-all", arity = "1", description = "Whether requests without a key are accepted.")
                    Boolean open,
            @Option(
                            names = "--idempotent",
                            arity = "1",
                            description = "Whether a request may be sent again after it may have run.")
                    Boolean idempotent,
            @Option(
                            names = "--claim-time-ms",
                            description = "How long an idempotency key stays claimed, in milliseconds.")
                    Long claimTimeMs,
            @Option(names = "--deadline-ms", description = "Deadline of a request that states none, in milliseconds.")
                    Long deadlineMs,
            @Option(names = "--body-limit-bytes", description = "Largest request body.") Long bodyLimitBytes,
            @Option(names = "--queued-limit", description = "Most requests waiting at one entry host.")
                    Integer queuedLimitRequests) {
        ObjectNode fields = object();
        fields.put("pool", pool)
                .put("openToAll", open)
                .put("idempotent", idempotent)
                .put("claimTimeMs", claimTimeMs)
                .put("deadlineMs", deadlineMs)
                .put("bodyLimitBytes", bodyLimitBytes)
                .put("queuedLimitRequests", queuedLimitRequests);
        fields.properties().removeIf(field -> field.getValue().isNull());
        return change(client -> client.find(KIND, name).isPresent()
                ? client.patch(KIND, name, fields)
                : client.put(KIND, name, defaults().setAll(fields), 0, true));
    }

    private static ObjectNode defaults() {
        return object().put("claimTimeMs", 86_400_000)
                .put("deadlineMs", 30_000)
                .put("bodyLimitBytes", 1 << 20)
                .put("queuedLimitRequests", 1_000);
    }

    @Command(description = "Removes a queue that no other record refers to.")
    int remove(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }
}
