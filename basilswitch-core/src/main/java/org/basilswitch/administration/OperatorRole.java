package org.basilswitch.administration;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** What an operator may do; each role includes those before it. */
public enum OperatorRole {
    /** Reads everything. */
    VIEWER,
    /** Changes hosts and waves. */
    OPERATOR,
    /** Changes every record. */
    ADMINISTRATOR;

    /** The word in the settings. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The role of a word among {@link #texts}. */
    public static OperatorRole of(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }

    /** All words. */
    public static List<String> texts() {
        return Arrays.stream(values()).map(OperatorRole::text).toList();
    }

    /** Whether this role includes another. */
    public boolean includes(OperatorRole other) {
        return compareTo(other) >= 0;
    }
}
