package org.basilswitch.cli;

/** Sets what log4j2.xml reads from system properties; to be called before the first logger is made. */
public final class LogSetup {
    private static final String FORMAT_PROPERTY = "basilswitch.log.format";
    private static final String LEVEL_PROPERTY = "basilswitch.log.level";

    private LogSetup() {}

    /** Formats of log lines on standard error. */
    public enum Format {
        JSON,
        TEXT
    }

    /** Logs in a format from a level on. */
    public static void configure(Format format, String level) {
        System.setProperty(FORMAT_PROPERTY, format.name().toLowerCase(java.util.Locale.ROOT));
        System.setProperty(LEVEL_PROPERTY, level);
    }

    /** Logs errors only, as text, for commands that print for a person. */
    public static void quiet() {
        configure(Format.TEXT, "error");
    }
}
