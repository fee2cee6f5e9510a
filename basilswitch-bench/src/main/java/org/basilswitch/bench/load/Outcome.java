package org.basilswitch.bench.load;

/** Outcome of a request as its caller knows it. */
public sealed interface Outcome {

    /** The request got its own complete answer, with the backend server's status. */
    record Answered(int status) implements Outcome {}

    /** The request was refused and has not run; holds the refusal's code. */
    record Refused(String code) implements Outcome {}

    /** The request may have run; holds the refusal's code or the kind of connection failure. */
    record Unknown(String code) implements Outcome {}

    /** The request got the answer of another request; holds the identifier in that answer. */
    record Foreign(String testId) implements Outcome {}

    /** Returns the name of the kind of outcome. */
    default String kind() {
        return switch (this) {
            case Answered answered -> "answered";
            case Refused refused -> "refused";
            case Unknown unknown -> "unknown";
            case Foreign foreign -> "foreign";
        };
    }

    /** Returns the status, refusal code, failure or foreign identifier as text. */
    default String code() {
        return switch (this) {
            case Answered answered -> Integer.toString(answered.status());
            case Refused refused -> refused.code();
            case Unknown unknown -> unknown.code();
            case Foreign foreign -> foreign.testId();
        };
    }
}
