package org.basilswitch.administration;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Role of an operator; each role includes the permissions of those before it. */
public enum OperatorRole {
    /** May read everything. */
    VIEWER,
    /** May change hosts and maintenance waves. */
    OPERATOR,
    /** May change every record. */
    ADMINISTRATOR;

    /** Returns the role's name in the settings. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the role with a name in the settings.
     *
     * @throws IllegalArgumentException when the name is not one of {@link #texts}
     */
    public static OperatorRole of(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }

    /** Returns the names of all roles in the settings. */
    public static List<String> texts() {
        return Arrays.stream(values()).map(OperatorRole::text).toList();
    }

    /** Returns whether this role has all permissions of another. */
    public boolean includes(OperatorRole other) {
        return compareTo(other) >= 0;
    }
}
