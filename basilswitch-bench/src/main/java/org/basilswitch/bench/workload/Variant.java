package org.basilswitch.bench.workload;

import org.basilswitch.admission.SharePolicy;
import org.basilswitch.placement.PlacementPolicy;

/**
 * One policy under measurement.
 *
 * @param name name in the printed table
 * @param shares order of the teams
 * @param placement choice of backend server
 * @param reports whether entry hosts report their usage to each other
 */
public record Variant(String name, SharePolicy shares, PlacementPolicy placement, boolean reports) {}
