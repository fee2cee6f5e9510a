package org.basilswitch.cli.admin;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.basilswitch.daemon.admin.ChangeAnswer;
import org.basilswitch.daemon.admin.Problem;
import org.basilswitch.daemon.admin.RecordView;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Base class of the commands that use the administration interface. */
abstract class AdministrationCommand {
    @Spec
    private CommandSpec spec;

    @Mixin
    private ConnectionOptions connection;

    @Option(names = "--json", scope = ScopeType.INHERIT, description = "Prints JSON instead of text.")
    private boolean json;

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    final PrintWriter errors() {
        return spec.commandLine().getErr();
    }

    final boolean json() {
        return json;
    }

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Runs an action with a client and returns its exit code; a failure is printed and gives {@link Output#REFUSED}. */
    final int withClient(Function<AdministrationClient, Integer> action) {
        try (AdministrationClient client = connection.open()) {
            return action.apply(client);
        } catch (CommandFailure e) {
            errors().println(e.getMessage());
            errors().flush();
            return Output.REFUSED;
        }
    }

    /** Makes a change, prints its result and returns the exit code. */
    final int change(Function<AdministrationClient, Either<Problem, ChangeAnswer>> action) {
        return withClient(client -> {
            Either<Problem, ChangeAnswer> result = action.apply(client);
            if (json) {
                Output.printJson(out(), result.fold(problem -> problem, answer -> answer));
            }
            PrintWriter text = json ? new PrintWriter(java.io.Writer.nullWriter()) : out();
            return Output.printResult(text, errors(), result);
        });
    }

    /** Prints all records of a kind and returns the exit code. */
    final int list(String kind) {
        return withClient(client -> {
            List<RecordView> records = client.list(kind);
            if (json) {
                Output.printJson(out(), records);
            } else {
                Output.printTable(out(), rows(records));
            }
            return Output.DONE;
        });
    }

    private static List<List<String>> rows(List<RecordView> records) {
        List<List<String>> rows = new ArrayList<>();
        for (RecordView view : records) {
            if (rows.isEmpty()) {
                rows.add(titles(view.record()));
            }
            List<String> row = new ArrayList<>();
            view.record().forEach(value -> row.add(text(value)));
            row.add(Long.toString(view.revision()));
            rows.add(row);
        }
        return rows;
    }

    private static List<String> titles(JsonNode record) {
        List<String> titles = new ArrayList<>();
        for (Iterator<String> names = record.fieldNames(); names.hasNext(); ) {
            titles.add(names.next());
        }
        titles.add("revision");
        return titles;
    }

    private static String text(JsonNode value) {
        return value.isArray() ? Integer.toString(value.size()) : value.asText();
    }

    /** Prints a record with its revision and returns the exit code. */
    final int show(String kind, String name) {
        return withClient(client -> {
            RecordView view = client.find(kind, name)
                    .orElseThrow(() -> new CommandFailure(kind + "/" + name + " does not exist; list all " + kind));
            Output.printJson(out(), view);
            return Output.DONE;
        });
    }

    final int patch(String kind, String name, ObjectNode fields) {
        return change(client -> client.patch(kind, name, fields));
    }

    final int create(String kind, String name, ObjectNode record) {
        return change(client -> client.put(kind, name, record, 0, true));
    }

    final int remove(String kind, String name) {
        return change(client -> client.delete(kind, name));
    }
}
