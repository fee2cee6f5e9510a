package org.basilswitch.cli;

/** Sets the system properties that log4j2.xml reads; must be called before the first logger is created. */
public final class LogSetup {
    private static final String FORMAT_PROPERTY = "basilswitch.log.format";
    private static final String LEVEL_PROPERTY = "basilswitch.log.level";

    private LogSetup() {}

    /** Formats of log lines on standard error. */
    public enum Format {
        JSON,
        TEXT
    }

    /** Sets the format and the lowest level that is logged. */
    public static void configure(Format format, String level) {
        System.setProperty(FORMAT_PROPERTY, format.name().toLowerCase(java.util.Locale.ROOT));
        System.setProperty(LEVEL_PROPERTY, level);
    }

    /** Logs errors only, as text, for commands whose output a person reads. */
    public static void quiet() {
        configure(Format.TEXT, "error");
    }
}
