package org.basilswitch.daemon.settings;

/** Units of numeric fields and the suffix that a field's name carries for each. */
enum Unit {
    NONE(""),
    MILLISECONDS("Ms"),
    BYTES("Bytes"),
    RATIO("Ratio"),
    HOSTS("Hosts"),
    REQUESTS("Requests"),
    TASKS("Tasks"),
    WEIGHT("Weight"),
    ATTEMPTS("Attempts"),
    SLOTS("slots"),
    CONNECTIONS("connections"),
    PROCESSORS("processors"),
    ACCELERATORS("accelerators");

    private final String suffix;

    Unit(String suffix) {
        this.suffix = suffix;
    }

    /** How names of fields of this unit end. */
    String suffix() {
        return suffix;
    }

    /** The unit in the settings page. */
    String text() {
        return this == NONE ? "" : name().toLowerCase(java.util.Locale.ROOT);
    }
}
