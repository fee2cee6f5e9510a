package org.basilswitch.daemon.settings;

/** Units of numeric fields; the name of a field ends in the suffix of its unit. */
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

    /** Returns the suffix of the names of fields of this unit. */
    String suffix() {
        return suffix;
    }

    /** Returns the unit as the settings page shows it; empty for {@link #NONE}. */
    String text() {
        return this == NONE ? "" : name().toLowerCase(java.util.Locale.ROOT);
    }
}
