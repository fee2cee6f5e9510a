package org.basilswitch.cli.admin;

import org.basilswitch.administration.OperatorRole;
import org.basilswitch.cli.Secrets;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Keys of teams. Secrets are made here and never sent to an entry host, which stores their hashes only. */
@Command(
        name = "key",
        mixinStandardHelpOptions = true,
        description = "Keys of teams; only their hashes are stored.",
        subcommands = HelpCommand.class)
public final class KeyCommand extends AdministrationCommand {
    private static final String KIND = "keys";

    @Command(description = "Lists all keys by name.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows one with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Creates a key, grants it to a team and prints its secret, once.")
    int create(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--team", required = true, description = "The team that the key speaks for.") String team) {
        String secret = Secrets.create();
        int code = create(KIND, name, object().put("team", team).put("sha256Hex", Secrets.sha256Hex(secret)));
        if (code == Output.DONE) {
            out().println("secret (shown only now): " + secret);
            out().flush();
        }
        return code;
    }

    @Command(description = "Grants a key to a team: a new key by its secret's hash, or one that is granted already.")
    int grant(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--team", required = true, description = "The team that the key speaks for.") String team,
            @Option(names = "--sha256", description = "SHA-256 of the secret, for a new key.") String sha256Hex) {
        return sha256Hex == null
                ? patch(KIND, name, object().put("team", team))
                : create(KIND, name, object().put("team", team).put("sha256Hex", sha256Hex));
    }

    @Command(description = "Withdraws a key; its secret can't be granted again.")
    int withdraw(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }

    @Command(description = "Makes an operator key and prints its secret and its lines for the settings.")
    int operator(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--role", required = true, description = "viewer, operator or administrator.")
                    OperatorRole role) {
        String secret = Secrets.create();
        out().println("secret (shown only now): " + secret);
        out().println("\"operators\": { \"" + name + "\": { \"sha256Hex\": \"" + Secrets.sha256Hex(secret)
                + "\", \"role\": \"" + role.text() + "\" } }");
        out().flush();
        return Output.DONE;
    }
}
