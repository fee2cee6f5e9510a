package org.basilswitch.standin.worker;

import java.util.SplittableRandom;

/** Distribution of a worker's service time per request. */
public sealed interface ServiceTime {

    /** Returns the mean, in milliseconds. */
    double meanMs();

    /** Constant service time. */
    record Fixed(double meanMs) implements ServiceTime {}

    /** Exponentially distributed service time. */
    record Exponential(double meanMs) implements ServiceTime {}

    /** Uniformly distributed service time from 0 to twice the mean. */
    record Uniform(double meanMs) implements ServiceTime {}

    /** Draws a service time, in milliseconds. */
    default double drawMs(SplittableRandom random) {
        return switch (this) {
            case Fixed fixed -> fixed.meanMs();
            case Exponential exponential -> -Math.log(1 - random.nextDouble()) * exponential.meanMs();
            case Uniform uniform -> random.nextDouble() * 2 * uniform.meanMs();
        };
    }

    /** Creates the distribution of the given name: {@code fixed}, {@code exponential} or {@code uniform}. */
    static ServiceTime of(String name, double meanMs) {
        return switch (name) {
            case "fixed" -> new Fixed(meanMs);
            case "exponential" -> new Exponential(meanMs);
            case "uniform" -> new Uniform(meanMs);
            default ->
                throw new IllegalArgumentException(
                        "unknown distribution " + name + ": use fixed, exponential or uniform");
        };
    }
}
