package org.basilswitch.cli.admin;

import java.io.PrintWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.vavr.control.Either;
import org.basilswitch.administration.AuditRecord;
import org.basilswitch.daemon.admin.ChangeAnswer;
import org.basilswitch.daemon.admin.Problem;

/** Prints responses as text and as JSON, and defines the exit codes. */
final class Output {
    static final int DONE = 0;
    static final int REFUSED = 1;
    static final int UNKNOWN = 3;

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private Output() {}

    /** Prints rows in aligned columns; the first row holds the titles. */
    static void printTable(PrintWriter out, List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                if (i == widths.size()) {
                    widths.add(0);
                }
                widths.set(i, Math.max(widths.get(i), row.get(i).length()));
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i))
                        .append(" ".repeat(widths.get(i) - row.get(i).length() + 2));
            }
            out.println(line.toString().stripTrailing());
        }
        out.flush();
    }

    static void printJson(PrintWriter out, Object value) {
        try {
            out.println(MAPPER.writeValueAsString(value));
            out.flush();
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not encodable as JSON: " + value, e);
        }
    }

    /** Prints the result of a change and returns the command's exit code. */
    static int printResult(PrintWriter out, PrintWriter errors, Either<Problem, ChangeAnswer> result) {
        return result.fold(problem -> printRefused(errors, problem), answer -> printAccepted(out, answer));
    }

    private static int printAccepted(PrintWriter out, ChangeAnswer answer) {
        String action = answer.action().name().toLowerCase(java.util.Locale.ROOT);
        out.println(answer.kind() + "/" + answer.name() + " " + action + " at revision " + answer.revision() + ", "
                + answer.result().replace('-', ' ') + " at "
                + answer.inForceAt().size() + " of "
                + answer.entryHosts().size() + " entry hosts: " + String.join(", ", answer.inForceAt()));
        out.flush();
        return DONE;
    }

    private static int printRefused(PrintWriter errors, Problem problem) {
        errors.println(problem.result() + ": " + problem.code() + ": " + problem.detail());
        problem.current()
                .forEach(record -> errors.println("now at revision " + record.revision() + ": " + record.record()));
        problem.lastChange().forEach(change -> errors.println("changed by " + text(change)));
        errors.println(problem.remedy());
        errors.flush();
        return problem.result().equals("unknown") ? UNKNOWN : REFUSED;
    }

    static String text(AuditRecord change) {
        return change.operator() + " at " + Instant.ofEpochMilli(change.atMs()) + ": " + change.before() + " -> "
                + change.after();
    }
}
