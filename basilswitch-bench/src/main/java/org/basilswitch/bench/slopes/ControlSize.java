package org.basilswitch.bench.slopes;

/**
 * Size of a site whose control cost is measured.
 *
 * @param members entry hosts
 * @param pools pools, each with one queue
 * @param teams teams
 * @param hosts worker hosts of all pools together
 * @param changesPerDay configuration changes per day
 */
public record ControlSize(int members, int pools, int teams, int hosts, int changesPerDay) {

    /** The brief's size: 9 entry hosts, 5 services, 6 teams, 40 hosts. */
    public static ControlSize ofCurrentScale() {
        return new ControlSize(9, 5, 6, 40, 64_000);
    }

    /** Letter 1's size, served by one cell of 9 entry hosts. */
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
