package org.basilswitch.backpressure;

import java.util.Arrays;

/** A request's body in one array that grows as parts arrive, however small they are. */
public final class BodyBuffer {
    private static final int MIN_GROWTH_BYTES = 256;

    private final int maxBytes;
    private byte[] bytes = {};
    private int length;

    private BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates an empty buffer for a body of at most a number of bytes. */
    public static BodyBuffer create(int maxBytes) {
        return new BodyBuffer(maxBytes);
    }

    /** Returns whether a part still fits. */
    public boolean fits(int partBytes) {
        return partBytes <= maxBytes - length;
    }

    /** Returns by how many bytes the memory grows when a part is appended. */
    public int growthBytes(int partBytes) {
        return length + partBytes <= bytes.length ? 0 : capacityFor(length + partBytes) - bytes.length;
    }

    /** The first part is often the whole body, which then takes no more than its size. */
    private int capacityFor(int neededBytes) {
        return length == 0 ? neededBytes : Math.min(maxBytes, Math.max(2 * neededBytes, MIN_GROWTH_BYTES));
    }

    /** Returns the array with room for a part at the current length, after which the part has to be written there. */
    public byte[] extend(int partBytes) {
        if (length + partBytes > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacityFor(length + partBytes));
        }
        length += partBytes;
        return bytes;
    }

    /** Returns the number of bytes received. */
    public int length() {
        return length;
    }

    /** Returns the memory in use, bytes. */
    public int capacityBytes() {
        return bytes.length;
    }

    /** Returns the whole body; the buffer is not used after that. */
    public byte[] take() {
        byte[] whole = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        bytes = new byte[0];
        length = 0;
        return whole;
    }
}
