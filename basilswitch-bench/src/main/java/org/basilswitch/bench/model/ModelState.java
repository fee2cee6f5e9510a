package org.basilswitch.bench.model;

import java.util.Arrays;

/** One state of the model; small numbers in a byte array, so that states are compared and kept cheaply. */
final class ModelState {
    private static final int MAX_REVISIONS = 4;

    private final int hosts;
    private final byte[] cells;

    private ModelState(int hosts, byte[] cells) {
        this.hosts = hosts;
        this.cells = cells;
    }

    static ModelState initial(int hosts) {
        int perHost = 6;
        int perPair = 6;
        int size = 5 + 2 * (MAX_REVISIONS + 1) + hosts * perHost + hosts * hosts * perPair;
        ModelState state = new ModelState(hosts, new byte[size]);
        state.setMembers(0, (1 << hosts) - 1);
        for (int host = 0; host < hosts; host++) {
            state.setAlive(host, true);
        }
        return state;
    }

    ModelState copy() {
        return new ModelState(hosts, cells.clone());
    }

    int revision() {
        return cells[0];
    }

    void setRevision(int value) {
        cells[0] = (byte) value;
    }

    int crashes() {
        return cells[1];
    }

    void countCrash() {
        cells[1]++;
    }

    /** Newest revision that was ever in force. */
    int inForce() {
        return cells[2];
    }

    void setInForce(int value) {
        cells[2] = (byte) Math.max(cells[2], value);
    }

    /** Revision of the last change of the members. */
    int membersRevision() {
        return cells[3];
    }

    void setMembersRevision(int value) {
        cells[3] = (byte) value;
    }

    int messages() {
        return cells[4];
    }

    /** Members as of a revision, a bit for each address. */
    int members(int revision) {
        return cells[5 + revision];
    }

    void setMembers(int revision, int members) {
        cells[5 + revision] = (byte) members;
    }

    /** Runs as of a revision, a bit for each address: whether the successor is the member there. */
    int memberIncarnations(int revision) {
        return cells[5 + MAX_REVISIONS + 1 + revision];
    }

    void setMemberIncarnations(int revision, int runs) {
        cells[5 + MAX_REVISIONS + 1 + revision] = (byte) runs;
    }

    private int host(int host, int field) {
        return 5 + 2 * (MAX_REVISIONS + 1) + host * 6 + field;
    }

    boolean alive(int host) {
        return cells[host(host, 0)] != 0;
    }

    void setAlive(int host, boolean alive) {
        cells[host(host, 0)] = (byte) (alive ? 1 : 0);
    }

    /** Which run of the process is at the address: 0, or 1 for its successor. */
    int incarnation(int host) {
        return cells[host(host, 1)];
    }

    void setIncarnation(int host, int run) {
        cells[host(host, 1)] = (byte) run;
    }

    /** Revision that a host acts on. */
    int viewRevision(int host) {
        return cells[host(host, 2)];
    }

    void setViewRevision(int host, int revision) {
        cells[host(host, 2)] = (byte) revision;
    }

    int acknowledged(int host, int run) {
        return cells[host(host, 3 + run)];
    }

    void setAcknowledged(int host, int run, int revision) {
        cells[host(host, 3 + run)] = (byte) revision;
    }

    /** Ticks until a successor grants and acknowledges. */
    int waitingTicks(int host) {
        return cells[host(host, 5)];
    }

    void setWaiting(int host, int ticks) {
        cells[host(host, 5)] = (byte) ticks;
    }

    private int pair(int from, int to, int field) {
        return 5 + 2 * (MAX_REVISIONS + 1) + hosts * 6 + (from * hosts + to) * 6 + field;
    }

    /** Ticks for which {@code holder} counts the promise of {@code giver}. */
    int heldTicks(int holder, int giver) {
        return cells[pair(holder, giver, 0)];
    }

    int heldFromIncarnation(int holder, int giver) {
        return cells[pair(holder, giver, 1)];
    }

    void setHeld(int holder, int giver, int ticks, int run) {
        cells[pair(holder, giver, 0)] = (byte) ticks;
        cells[pair(holder, giver, 1)] = (byte) (ticks == 0 ? 0 : run);
    }

    /** Ticks for which {@code giver} counts its promise to {@code holder}. */
    int grantedTicks(int giver, int holder) {
        return cells[pair(giver, holder, 2)];
    }

    void setGranted(int giver, int holder, int ticks) {
        cells[pair(giver, holder, 2)] = (byte) ticks;
    }

    /** Newest revision that {@code host} has heard of {@code peer}. */
    int heardRevision(int host, int peer) {
        return cells[pair(host, peer, 3)];
    }

    void setHeardRevision(int host, int peer, int revision) {
        cells[pair(host, peer, 3)] = (byte) revision;
    }

    /** Ticks for which a promise given on the heartbeat under way would count; 0 when none is under way. */
    int sentTicks(int from, int to) {
        return cells[pair(from, to, 4)];
    }

    int sentRevision(int from, int to) {
        return cells[pair(from, to, 5)];
    }

    void setSent(int from, int to, int ticks, int revision) {
        boolean before = sentTicks(from, to) > 0;
        cells[pair(from, to, 4)] = (byte) ticks;
        cells[pair(from, to, 5)] = (byte) (ticks == 0 ? 0 : revision);
        cells[4] += (byte) ((ticks > 0 ? 1 : 0) - (before ? 1 : 0));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ModelState state && Arrays.equals(cells, state.cells);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(cells);
    }
}
