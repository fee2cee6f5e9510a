package org.basilswitch.cli.admin;

import org.basilswitch.administration.OperatorRole;
import org.basilswitch.cli.Secrets;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for keys of teams. Secrets are created here; entry hosts receive and store only their hashes. */
@Command(
        name = "key",
        mixinStandardHelpOptions = true,
        description = "Lists and changes keys of teams; only their hashes are stored.",
        subcommands = HelpCommand.class)
public final class KeyCommand extends AdministrationCommand {
    private static final String KIND = "keys";

    @Command(description = "Lists all keys by name.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows a key with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Creates a key for a team and prints its secret, which is not stored.")
    int create(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--team", required = true, description = "Team that the key authenticates.") String team) {
        String secret = Secrets.create();
        int code = create(KIND, name, object().put("team", team).put("sha256Hex", Secrets.sha256Hex(secret)));
        if (code == Output.DONE) {
            out().println("secret (shown only now): " + secret);
            out().flush();
        }
        return code;
    }

    @Command(description = "Grants a key to a team: a new key by the hash of its secret, or an existing key.")
    int grant(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--team", required = true, description = "Team that the key authenticates.") String team,
            @Option(names = "--sha256", description = "SHA-256 of the secret, for a new key.") String sha256Hex) {
        return sha256Hex == null
                ? patch(KIND, name, object().put("team", team))
                : create(KIND, name, object().put("team", team).put("sha256Hex", sha256Hex));
    }

    @Command(description = "Withdraws a key; its secret can't be granted again.")
    int withdraw(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }

    @Command(description = "Creates an operator key and prints its secret and its entry for the settings.")
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
