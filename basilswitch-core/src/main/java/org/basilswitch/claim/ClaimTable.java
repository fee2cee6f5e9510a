package org.basilswitch.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A bucket's committed claims, and the groups that hold them in the store. */
final class ClaimTable {
    /** Allowance for the difference of two hosts' wall clocks. */
    static final long EXPIRY_MARGIN_MS = 60_000;

    private static final int GROUPS_PER_MERGE = 64;
    private static final int SMALL_GROUP_CLAIMS = 1024;
    private static final int MAX_GROUP_DELETES = 32;

    private final Map<ClaimId, Claim> claims = new HashMap<>();
    private final Map<String, ClaimGroup> groups = new HashMap<>();

    /** Loads groups in any order; releases apply wherever they stand. */
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

    /** The claim that holds an id now. */
    Optional<Claim> find(ClaimId id, long nowMs) {
        Claim claim = claims.get(id);
        return claim == null || expired(claim.expiresMs(), nowMs) ? Optional.empty() : Optional.of(claim);
    }

    private static boolean expired(long expiresMs, long nowMs) {
        return nowMs > expiresMs + EXPIRY_MARGIN_MS;
    }

    /** Adds a group that was committed. */
    void add(ClaimGroup group) {
        groups.put(group.key(), group);
        for (Claim claim : group.claims()) {
            if (!claim.released()) {
                claims.put(claim.id(), claim);
            }
        }
    }

    /** Withdraws a claim; returns the release to commit, or nothing when the claim is not there. */
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

    /** Keys of some groups whose claims have all ended. */
    List<String> expiredGroups(long nowMs) {
        return groups.values().stream()
                .filter(group -> expired(group.expiresMs(), nowMs))
                .limit(MAX_GROUP_DELETES)
                .map(ClaimGroup::key)
                .toList();
    }

    /** Small groups worth replacing by one, when there are many; otherwise none. */
    List<ClaimGroup> groupsToMerge() {
        List<ClaimGroup> small = groups.values().stream()
                .filter(group -> group.claims().size() < SMALL_GROUP_CLAIMS)
                .limit(GROUPS_PER_MERGE)
                .toList();
        return small.size() < GROUPS_PER_MERGE ? List.of() : small;
    }

    /** What is left of some groups: claims withdrawn within them are dropped together with their releases. */
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

    /** Forgets groups that were deleted from the store. */
    void removeGroups(List<String> keys, long nowMs) {
        keys.forEach(groups::remove);
        claims.values().removeIf(claim -> expired(claim.expiresMs(), nowMs));
    }

    int size() {
        return claims.size();
    }
}
