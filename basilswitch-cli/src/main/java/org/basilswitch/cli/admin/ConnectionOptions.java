package org.basilswitch.cli.admin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** Options for the URLs of entry hosts and for the operator key. */
final class ConnectionOptions {
    @Option(
            names = "--url",
            scope = ScopeType.INHERIT,
            split = ",",
            paramLabel = "URL",
            defaultValue = "${env:BASILSWITCH_URL:-http://127.0.0.1:18201}",
            description =
                    "URL of an entry host's administration port; with several, separated by commas, the next is tried when one"
                            + " fails (BASILSWITCH_URL, default: ${DEFAULT-VALUE}).")
    private List<String> urls;

    @Option(
            names = "--operator-key",
            scope = ScopeType.INHERIT,
            paramLabel = "KEY",
            defaultValue = "${env:BASILSWITCH_OPERATOR_KEY}",
            description =
                    "Operator key; BASILSWITCH_OPERATOR_KEY or --operator-key-file keep it out of the process list.")
    private String key;

    @Option(
            names = "--operator-key-file",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "File with the operator key.")
    private Path keyFile;

    @Option(
            names = "--authority",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "PEM file of the authorities that sign the administration port's certificate.")
    private Path authority;

    /** Creates a client; throws {@link CommandFailure} if the key file is not readable. */
    AdministrationClient open() {
        return AdministrationClient.create(urls, key(), Optional.ofNullable(authority));
    }

    private String key() {
        if (keyFile == null) {
            return key == null ? "" : key;
        }
        try {
            return Files.readString(keyFile).trim();
        } catch (IOException e) {
            throw new CommandFailure("the operator key can't be read: " + e + "; check --operator-key-file");
        }
    }
}
