package org.basilswitch.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A bucket's committed claims and the groups that contain them in the store. */
final class ClaimTable {
    /** Number of small groups that are replaced by one group. */
    private static final int GROUPS_PER_MERGE = 64;
    /** Number of claims from which on a group is not merged any more. */
    private static final int SMALL_GROUP_CLAIMS = 1024;
    /** Largest number of expired groups that one commit deletes. */
    private static final int MAX_GROUP_DELETES = 32;

    private final Map<ClaimId, Claim> claims = new HashMap<>();
    private final Map<String, ClaimGroup> groups = new HashMap<>();

    /**
     * Creates a table of groups in any order; a tombstone applies to its claim in any of the groups. Groups that this
     * host's earlier table contains keep the times at which their claims are over.
     */
    static ClaimTable load(List<ClaimGroup> groups, ClaimTable earlier) {
        ClaimTable table = new ClaimTable();
        Set<Long> released = new HashSet<>();
        for (ClaimGroup read : groups) {
            ClaimGroup group = earlier.groups.getOrDefault(read.key(), read);
            table.groups.put(group.key(), group);
            group.claims().stream().filter(Claim::released).forEach(claim -> released.add(claim.correlation()));
        }
        for (ClaimGroup group : table.groups.values()) {
            group.claims().stream()
                    .filter(claim -> !released.contains(claim.correlation()))
                    .forEach(claim -> table.claims.merge(claim.id(), claim, ClaimTable::laterClaim));
        }
        return table;
    }

    /** Returns the later of two claims of an id by the wall clock, which may err; it is kept as long as either. */
    private static Claim laterClaim(Claim a, Claim b) {
        return a.expiresMs() >= b.expiresMs() ? a.keptAsLongAs(b) : b.keptAsLongAs(a);
    }

    /** Returns the claim of an id; empty when there is none or it is over. */
    Optional<Claim> find(ClaimId id, ClaimInstant now) {
        return Optional.ofNullable(claims.get(id)).filter(claim -> !claim.isOver(now));
    }

    /** Adds a committed group. */
    void add(ClaimGroup group) {
        groups.put(group.key(), group);
        for (Claim claim : group.claims()) {
            if (!claim.released()) {
                claims.put(claim.id(), claim);
            }
        }
    }

    /** Withdraws a claim; returns the tombstone to commit, or empty when the id has no claim with this correlation. */
    Optional<Claim> release(ClaimId id, long correlation) {
        Claim claim = claims.get(id);
        if (claim == null || claim.correlation() != correlation) {
            return Optional.empty();
        }
        claims.remove(id);
        return Optional.of(claim.toRelease());
    }

    boolean containsGroup(String key) {
        return groups.containsKey(key);
    }

    /** Returns keys of groups whose claims are all over, up to the number that one commit deletes. */
    List<String> endedGroups(ClaimInstant now) {
        return groups.values().stream()
                .filter(group -> group.isOver(now))
                .limit(MAX_GROUP_DELETES)
                .map(ClaimGroup::key)
                .toList();
    }

    /** Returns small groups to replace by one group, or an empty list while there are too few of them. */
    List<ClaimGroup> groupsToMerge() {
        List<ClaimGroup> small = groups.values().stream()
                .filter(group -> group.claims().size() < SMALL_GROUP_CLAIMS)
                .limit(GROUPS_PER_MERGE)
                .toList();
        return small.size() < GROUPS_PER_MERGE ? List.of() : small;
    }

    /** Returns the lasting claims of some groups; a claim and its tombstone are both dropped if both are in them. */
    List<Claim> mergeClaims(List<ClaimGroup> sources, ClaimInstant now) {
        Map<Long, Integer> kinds = new HashMap<>();
        List<Claim> kept = new ArrayList<>();
        for (ClaimGroup group : sources) {
            for (Claim claim : group.claims()) {
                kinds.merge(claim.correlation(), claim.released() ? 2 : 1, (a, b) -> a | b);
            }
        }
        for (ClaimGroup group : sources) {
            group.claims().stream()
                    .filter(claim -> !claim.isOver(now))
                    .filter(claim -> kinds.get(claim.correlation()) != (1 | 2))
                    .forEach(kept::add);
        }
        return kept;
    }

    /** Removes groups that were deleted from the store, and all claims that are over. */
    void removeGroups(List<String> keys, ClaimInstant now) {
        keys.forEach(groups::remove);
        claims.values().removeIf(claim -> claim.isOver(now));
    }

    int size() {
        return claims.size();
    }
}
