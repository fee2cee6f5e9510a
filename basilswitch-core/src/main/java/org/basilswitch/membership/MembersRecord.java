package org.basilswitch.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.peer.MemberId;

/**
 * The entry hosts of a site, kept as one record in the store.
 *
 * <p>Each peer address has one member; a restarted process replaces its earlier incarnation. Addresses are added
 * and removed one at a time (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
 *
 * @param epoch number of changes made to the record
 * @param members members, in order of their addresses' first appearance
 */
public record MembersRecord(long epoch, List<Member> members) {

    /** Copies the list. */
    public MembersRecord {
        members = List.copyOf(members);
    }

    /** Returns the record without members, epoch 0. */
    public static MembersRecord empty() {
        return new MembersRecord(0, List.of());
    }

    /** Decodes a stored value; returns empty when it is not a members record. */
    public static Optional<MembersRecord> decode(byte[] value) {
        return RecordCodec.decode(value, MembersRecord.class);
    }

    /** Encodes the record as it is stored. */
    public byte[] encode() {
        return RecordCodec.encode(this);
    }

    /** Returns whether this incarnation of a process is a member. */
    public boolean contains(MemberId id) {
        for (Member member : members) {
            if (member.id().equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the member with this identifier; empty when there is none. */
    public Optional<Member> find(MemberId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Returns whether a member has this peer address. */
    public boolean hasAddress(String peerAddress) {
        return members.stream().anyMatch(member -> member.peerAddress().equals(peerAddress));
    }

    /** Returns the smallest number of members that is more than half. */
    public int majority() {
        return members.size() / 2 + 1;
    }

    /** Returns the record with a member added and the epoch increased. */
    public MembersRecord withMember(Member member) {
        List<Member> next = new ArrayList<>(members);
        next.add(member);
        return new MembersRecord(epoch + 1, next);
    }

    /** Returns the record with the member at the same address replaced and the epoch increased. */
    public MembersRecord withReplacedMember(Member member) {
        List<Member> next = new ArrayList<>(members);
        next.replaceAll(old -> old.peerAddress().equals(member.peerAddress()) ? member : old);
        return new MembersRecord(epoch + 1, next);
    }

    /** Returns the record without a member and with the epoch increased. */
    public MembersRecord withoutMember(MemberId id) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(member -> member.id().equals(id));
        return new MembersRecord(epoch + 1, next);
    }
}
