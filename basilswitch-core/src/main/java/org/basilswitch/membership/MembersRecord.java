package org.basilswitch.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.peer.MemberId;

/**
 * The entry hosts, as one record in the store.
 *
 * <p>Each address holds one member; a restarted process replaces its predecessor there. Addresses are added and
 * removed one at a time (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
 *
 * @param epoch number of the change
 * @param members members, in order of their addresses' first appearance
 */
public record MembersRecord(long epoch, List<Member> members) {

    /** Copies the list. */
    public MembersRecord {
        members = List.copyOf(members);
    }

    /** The record before the first member. */
    public static MembersRecord empty() {
        return new MembersRecord(0, List.of());
    }

    /** Decodes a stored value; empty when it is not a members record. */
    public static Optional<MembersRecord> decode(byte[] value) {
        return RecordCodec.decode(value, MembersRecord.class);
    }

    /** Encodes the record. */
    public byte[] encode() {
        return RecordCodec.encode(this);
    }

    /** Whether a run of a process is a member. */
    public boolean contains(MemberId id) {
        for (Member member : members) {
            if (member.id().equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Finds a member. */
    public Optional<Member> find(MemberId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Whether some member has this peer address. */
    public boolean hasAddress(String peerAddress) {
        return members.stream().anyMatch(member -> member.peerAddress().equals(peerAddress));
    }

    /** Number of members that are more than half. */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /** The record with a member added. */
    public MembersRecord plus(Member member) {
        List<Member> next = new ArrayList<>(members);
        next.add(member);
        return new MembersRecord(epoch + 1, next);
    }

    /** The record with the member of the same address replaced. */
    public MembersRecord replacing(Member member) {
        List<Member> next = new ArrayList<>(members);
        next.replaceAll(old -> old.peerAddress().equals(member.peerAddress()) ? member : old);
        return new MembersRecord(epoch + 1, next);
    }

    /** The record without a member. */
    public MembersRecord minus(MemberId id) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(member -> member.id().equals(id));
        return new MembersRecord(epoch + 1, next);
    }
}
