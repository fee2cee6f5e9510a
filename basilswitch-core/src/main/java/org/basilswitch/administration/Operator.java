package org.basilswitch.administration;

/** An authenticated operator with a role. */
public record Operator(String name, OperatorRole role) {}
