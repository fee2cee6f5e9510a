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
    /** Time for which a claim is kept after it expires, to allow for different wall clocks on two hosts. */
    static final long EXPIRY_MARGIN_MS = 60_000;

    /** Number of small groups that are replaced by one group. */
    private static final int GROUPS_PER_MERGE = 64;
    /** Number of claims from which on a group is not merged any more. */
    private static final int SMALL_GROUP_CLAIMS = 1024;
    /** Largest number of expired groups that one commit deletes. */
    private static final int MAX_GROUP_DELETES = 32;

    private final Map<ClaimId, Claim> claims = new HashMap<>();
    private final Map<String, ClaimGroup> groups = new HashMap<>();

    /** Creates a table of groups in any order; a tombstone applies to its claim in any of the groups. */
    static ClaimTable load(List<ClaimGroup> groups) {
        ClaimTable table = new ClaimTable();
        Set<Long> released = new HashSet<>();
        for (ClaimGroup group : groups) {
            table.groups.put(group.key(), group);
            group.claims().stream().filter(Claim::released).forEach(claim -> released.add(claim.correlation()));
        }
        for (ClaimGroup group : groups) {
            group.claims().stream()
                    .filter(claim -> !released.contains(claim.correlation()))
                    .forEach(claim -> table.claims.merge(claim.id(), claim, ClaimTable::laterExpiring));
        }
        return table;
    }

    private static Claim laterExpiring(Claim a, Claim b) {
        return a.expiresMs() >= b.expiresMs() ? a : b;
    }

    /** Returns the unexpired claim of an id; empty when there is none. */
    Optional<Claim> find(ClaimId id, long nowMs) {
        Claim claim = claims.get(id);
        return claim == null || expired(claim.expiresMs(), nowMs) ? Optional.empty() : Optional.of(claim);
    }

    private static boolean expired(long expiresMs, long nowMs) {
        return nowMs > expiresMs + EXPIRY_MARGIN_MS;
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

    /** Returns keys of groups whose claims have all expired, up to the number that one commit deletes. */
    List<String> expiredGroups(long nowMs) {
        return groups.values().stream()
                .filter(group -> expired(group.expiresMs(), nowMs))
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

    /** Returns the unexpired claims of some groups; a claim and its tombstone are both dropped if both are in them. */
    List<Claim> mergeClaims(List<ClaimGroup> sources, long nowMs) {
        Map<Long, Integer> kinds = new HashMap<>();
        List<Claim> kept = new ArrayList<>();
        for (ClaimGroup group : sources) {
            for (Claim claim : group.claims()) {
                kinds.merge(claim.correlation(), claim.released() ? 2 : 1, (a, b) -> a | b);
            }
        }
        for (ClaimGroup group : sources) {
            group.claims().stream()
                    .filter(claim -> !expired(claim.expiresMs(), nowMs))
                    .filter(claim -> kinds.get(claim.correlation()) != (1 | 2))
                    .forEach(kept::add);
        }
        return kept;
    }

    /** Removes groups that were deleted from the store, and all expired claims. */
    void removeGroups(List<String> keys, long nowMs) {
        keys.forEach(groups::remove);
        claims.values().removeIf(claim -> expired(claim.expiresMs(), nowMs));
    }

    int size() {
        return claims.size();
    }
}
