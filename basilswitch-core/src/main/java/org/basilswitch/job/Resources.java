package org.basilswitch.job;

/**
 * An amount of processor, memory and accelerator capacity.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryMb memory, MB
 * @param gpus number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
    /** Zero of every resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum of two amounts. */
    public Resources plus(Resources other) {
        return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /** Returns the difference of two amounts; a component may be negative. */
    public Resources minus(Resources other) {
        return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    /** Returns this amount multiplied by a count. */
    public Resources times(int count) {
        return new Resources(cpuMillis * count, memoryMb * count, gpus * count);
    }

    /** Returns whether no component exceeds that of the capacity. */
    public boolean fitsInto(Resources capacity) {
        return cpuMillis <= capacity.cpuMillis && memoryMb <= capacity.memoryMb && gpus <= capacity.gpus;
    }
}
