package org.basilswitch.bench.workload;

import org.basilswitch.admission.SharePolicy;
import org.basilswitch.placement.PlacementPolicy;

/**
 * Combination of policies to measure.
 *
 * @param name name in the printed table
 * @param shares policy that orders the teams' waiting requests
 * @param placement policy that chooses the backend server
 * @param reports whether entry hosts report their usage to each other
 */
public record Variant(String name, SharePolicy shares, PlacementPolicy placement, boolean reports) {}
