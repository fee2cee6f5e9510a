package org.basilswitch.bench.slopes;

/**
 * Size of a site whose control cost is measured.
 *
 * @param members number of entry hosts
 * @param pools number of pools, each with one queue
 * @param teams number of teams
 * @param hosts number of worker hosts in all pools together
 * @param changesPerDay number of configuration changes per day
 */
public record ControlSize(int members, int pools, int teams, int hosts, int changesPerDay) {

    /** Returns the size of today's sites: 9 entry hosts, 5 pools, 6 teams, 40 worker hosts. */
    public static ControlSize ofCurrentScale() {
        return new ControlSize(9, 5, 6, 40, 64_000);
    }

    /** Returns the largest size of a cell of 9 entry hosts: 49 pools, 240 teams, 24,000 worker hosts. */
    public static ControlSize ofLargestCell() {
        return new ControlSize(9, 49, 240, 24_000, 64_000);
    }

    ControlSize withMembers(int count) {
        return new ControlSize(count, pools, teams, hosts, changesPerDay);
    }

    ControlSize withPools(int count) {
        return new ControlSize(members, count, teams, hosts, changesPerDay);
    }

    ControlSize withTeams(int count) {
        return new ControlSize(members, pools, count, hosts, changesPerDay);
    }

    ControlSize withHosts(int count) {
        return new ControlSize(members, pools, teams, count, changesPerDay);
    }

    ControlSize withChanges(int perDay) {
        return new ControlSize(members, pools, teams, hosts, perDay);
    }
}
