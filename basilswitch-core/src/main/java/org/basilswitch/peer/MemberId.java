package org.basilswitch.peer;

/**
 * Identifies one incarnation of an entry host's process; a restarted process is another member.
 *
 * @param value random identifier
 */
public record MemberId(String value) implements Comparable<MemberId> {

    @Override
    public int compareTo(MemberId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
