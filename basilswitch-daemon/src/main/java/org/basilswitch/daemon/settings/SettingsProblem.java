package org.basilswitch.daemon.settings;

/** A problem in settings, with its location and its remedy. */
public sealed interface SettingsProblem {

    /** Returns the location of the problem. */
    SourceLocation location();

    /** Returns the path of the field, such as {@code pools.dispatch.spare}; empty if the problem is the file's. */
    String field();

    /** Returns what is wrong. */
    String fault();

    /** Returns how to correct it. */
    String remedy();

    /** Formats the problem as one line: file, line, column, field, fault and remedy. */
    default String text() {
        String subject = field().isEmpty() ? "" : field() + ": ";
        return location() + ": " + subject + fault() + "; " + remedy();
    }

    /** A file that can't be read. */
    record Unreadable(String file, String reason) implements SettingsProblem {
        @Override
        public SourceLocation location() {
            return new SourceLocation(file, 1, 1);
        }

        @Override
        public String field() {
            return "";
        }

        @Override
        public String fault() {
            return "the file can't be read (" + reason + ")";
        }

        @Override
        public String remedy() {
            return "check the path and the permissions";
        }
    }

    /** Text that is not JSON with comments. */
    record Malformed(SourceLocation location, String reason) implements SettingsProblem {
        @Override
        public String field() {
            return "";
        }

        @Override
        public String fault() {
            return "malformed JSON (" + reason + ")";
        }

        @Override
        public String remedy() {
            return "correct the syntax here; comments are // and /* */";
        }
    }

    /** A field that occurs twice in one object. */
    record Duplicate(SourceLocation location, String field) implements SettingsProblem {
        @Override
        public String fault() {
            return "occurs twice in one object";
        }

        @Override
        public String remedy() {
            return "remove one of the two";
        }
    }

    /** A field that is not in the schema. */
    record Unknown(SourceLocation location, String field, String known) implements SettingsProblem {
        @Override
        public String fault() {
            return "unknown field";
        }

        @Override
        public String remedy() {
            return "remove it or use one of: " + known;
        }
    }

    /** A required field that no file sets. */
    record Missing(SourceLocation location, String field, String expected) implements SettingsProblem {
        @Override
        public String fault() {
            return "missing";
        }

        @Override
        public String remedy() {
            return "set it to " + expected;
        }
    }

    /** A value of the wrong type. */
    record WrongType(SourceLocation location, String field, String found, String expected) implements SettingsProblem {
        @Override
        public String fault() {
            return "is " + found;
        }

        @Override
        public String remedy() {
            return "write " + expected;
        }
    }

    /** A value outside the field's range or not of its format. */
    record OutOfRange(SourceLocation location, String field, String found, String expected) implements SettingsProblem {
        @Override
        public String fault() {
            return found + " is out of range";
        }

        @Override
        public String remedy() {
            return "write " + expected;
        }
    }

    /** A value that contradicts the value of another field. */
    record Contradictory(SourceLocation location, String field, String fault, String remedy)
            implements SettingsProblem {}
}
