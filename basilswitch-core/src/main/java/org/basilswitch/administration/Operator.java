package org.basilswitch.administration;

/** Who asks for a change. */
public record Operator(String name, OperatorRole role) {}
