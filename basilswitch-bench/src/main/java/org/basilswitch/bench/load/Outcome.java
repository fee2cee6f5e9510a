package org.basilswitch.bench.load;

/** What a caller knows at the end of a request. */
public sealed interface Outcome {

    /** The whole answer of its own request came, with the backend server's status. */
    record Answered(int status) implements Outcome {}

    /** Refused as certainly not run, with the refusal's code. */
    record Refused(String code) implements Outcome {}

    /** May have run: the refusal's code, or what happened to the connection. */
    record Unknown(String code) implements Outcome {}

    /** An answer came that belongs to another request. */
    record Foreign(String testId) implements Outcome {}

    /** Name of the kind. */
    default String kind() {
        return switch (this) {
            case Answered answered -> "answered";
            case Refused refused -> "refused";
            case Unknown unknown -> "unknown";
            case Foreign foreign -> "foreign";
        };
    }

    /** The kind with its code. */
    default String code() {
        return switch (this) {
            case Answered answered -> Integer.toString(answered.status());
            case Refused refused -> refused.code();
            case Unknown unknown -> unknown.code();
            case Foreign foreign -> foreign.testId();
        };
    }
}
