package org.basilswitch.job;

/**
 * An amount of a backend server's capacity.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryMb memory, MB
 * @param gpus accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
    /** Nothing. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** The sum of two amounts. */
    public Resources plus(Resources other) {
        return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /** The difference of two amounts. */
    public Resources minus(Resources other) {
        return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    /** This amount several times. */
    public Resources times(int count) {
        return new Resources(cpuMillis * count, memoryMb * count, gpus * count);
    }

    /** Whether this amount fits into the other. */
    public boolean fitsInto(Resources capacity) {
        return cpuMillis <= capacity.cpuMillis && memoryMb <= capacity.memoryMb && gpus <= capacity.gpus;
    }
}
