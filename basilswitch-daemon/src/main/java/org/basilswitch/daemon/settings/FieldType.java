package org.basilswitch.daemon.settings;

import java.text.Normalizer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.util.NetUtil;
import io.vertx.core.net.HostAndPort;

/** The type and allowed range of a field's values. */
sealed interface FieldType {

    /** Returns a description of the allowed values for messages and the settings page. */
    String text();

    /** Returns the value of a node; empty if the node has another type or is out of range. */
    Optional<Object> read(SettingsNode node);

    /** Returns whether a node has the right JSON type; the range is not checked. */
    boolean accepts(SettingsNode node);

    private static <T> Optional<T> scalar(SettingsNode node, Class<T> type) {
        return node instanceof SettingsNode.Scalar scalar && type.isInstance(scalar.value())
                ? Optional.of(type.cast(scalar.value()))
                : Optional.empty();
    }

    /** A whole number within inclusive bounds, read as {@link Long}. */
    record WholeNumber(long min, long max) implements FieldType {
        @Override
        public String text() {
            return "a whole number from " + min + " to " + max;
        }

        @Override
        public Optional<Object> read(SettingsNode node) {
            return scalar(node, Long.class)
                    .filter(value -> value >= min && value <= max)
                    .map(Object.class::cast);
        }

        @Override
        public boolean accepts(SettingsNode node) {
            return scalar(node, Long.class).isPresent();
        }
    }

    /** A number within inclusive bounds, read as {@link Double}. */
    record DecimalNumber(double min, double max) implements FieldType {
        @Override
        public String text() {
            return "a number from " + min + " to " + max;
        }

        @Override
        public Optional<Object> read(SettingsNode node) {
            return scalar(node, Number.class)
                    .map(Number::doubleValue)
                    .filter(value -> value >= min && value <= max)
                    .map(Object.class::cast);
        }

        @Override
        public boolean accepts(SettingsNode node) {
            return scalar(node, Number.class).isPresent();
        }
    }

    /** A Boolean, read as {@link Boolean}. */
    record Flag() implements FieldType {
        @Override
        public String text() {
            return "true or false";
        }

        @Override
        public Optional<Object> read(SettingsNode node) {
            return scalar(node, Boolean.class).map(Object.class::cast);
        }

        @Override
        public boolean accepts(SettingsNode node) {
            return scalar(node, Boolean.class).isPresent();
        }
    }

    /** A string in Unicode normalization form C that matches a pattern, read as {@link String}. */
    record Text(String text, Pattern pattern) implements FieldType {
        private static final Pattern NAME = Pattern.compile("[\\p{Ll}0-9][\\p{Ll}0-9-]{0,62}");

        /** Returns the type of a record's name. */
        static Text recordName() {
            return new Text("a name of 1 to 63 lower-case letters, digits and hyphens", NAME);
        }

        /** Returns the type of a PEM file's path. */
        static Text filePath() {
            return new Text("the path of a PEM file", Pattern.compile(".+"));
        }

        /** Returns the type of a SHA-256 hash in hexadecimal digits. */
        static Text sha256() {
            return new Text("64 lower-case hexadecimal digits", Pattern.compile("[0-9a-f]{64}"));
        }

        /** Returns the type of a string that is one of the given words. */
        static Text choice(List<String> words) {
            return new Text("one of " + String.join(", ", words), Pattern.compile(String.join("|", words)));
        }

        @Override
        public Optional<Object> read(SettingsNode node) {
            return scalar(node, String.class)
                    .filter(value -> pattern.matcher(value).matches())
                    .filter(value -> Normalizer.isNormalized(value, Normalizer.Form.NFC))
                    .map(Object.class::cast);
        }

        @Override
        public boolean accepts(SettingsNode node) {
            return scalar(node, String.class).isPresent();
        }
    }

    /** An IP address with a port, read as {@link HostAndPort}. */
    record Address() implements FieldType {
        private static final int MAX_PORT = 65_535;

        @Override
        public String text() {
            return "an IP address and a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"";
        }

        @Override
        public Optional<Object> read(SettingsNode node) {
            return scalar(node, String.class).flatMap(Address::parse).map(Object.class::cast);
        }

        private static Optional<HostAndPort> parse(String value) {
            return Optional.ofNullable(HostAndPort.parseAuthority(value, -1))
                    .filter(address -> address.port() > 0 && address.port() <= MAX_PORT)
                    .filter(address -> isIpAddress(address.host()));
        }

        private static boolean isIpAddress(String host) {
            return NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
        }

        @Override
        public boolean accepts(SettingsNode node) {
            return scalar(node, String.class).isPresent();
        }
    }

    /** One or more addresses, read as a list of {@link HostAndPort}. */
    record Addresses() implements FieldType {
        private static final Address ADDRESS = new Address();

        @Override
        public String text() {
            return "a list of one or more addresses, each " + ADDRESS.text();
        }

        @Override
        public Optional<Object> read(SettingsNode node) {
            if (!(node instanceof SettingsNode.Array items) || items.nodes().isEmpty()) {
                return Optional.empty();
            }
            List<HostAndPort> addresses = new ArrayList<>();
            for (SettingsNode item : items.nodes()) {
                ADDRESS.read(item).ifPresent(address -> addresses.add((HostAndPort) address));
            }
            return addresses.size() == items.nodes().size() ? Optional.of(List.copyOf(addresses)) : Optional.empty();
        }

        @Override
        public boolean accepts(SettingsNode node) {
            return node instanceof SettingsNode.Array;
        }
    }
}
