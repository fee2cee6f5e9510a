package org.basilswitch.bench.model;

import java.util.Arrays;

/**
 * State of the protocol model, stored as small numbers in a byte array so that states are cheap to compare and keep.
 */
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

    /** Returns the newest revision that was ever in force. */
    int inForce() {
        return cells[2];
    }

    void setInForce(int value) {
        cells[2] = (byte) Math.max(cells[2], value);
    }

    /** Returns the revision of the last change of the members. */
    int membersRevision() {
        return cells[3];
    }

    void setMembersRevision(int value) {
        cells[3] = (byte) value;
    }

    int messages() {
        return cells[4];
    }

    /** Returns the members as of a revision, one bit per address. */
    int members(int revision) {
        return cells[5 + revision];
    }

    void setMembers(int revision, int members) {
        cells[5 + revision] = (byte) members;
    }

    /** Returns the member's incarnation at each address as of a revision, one bit per address; 1 for the successor. */
    int memberIncarnations(int revision) {
        return cells[5 + MAX_REVISIONS + 1 + revision];
    }

    void setMemberIncarnations(int revision, int incarnations) {
        cells[5 + MAX_REVISIONS + 1 + revision] = (byte) incarnations;
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

    /** Returns the incarnation of the process at an address: 0, or 1 for its successor. */
    int incarnation(int host) {
        return cells[host(host, 1)];
    }

    void setIncarnation(int host, int incarnation) {
        cells[host(host, 1)] = (byte) incarnation;
    }

    /** Returns the configuration revision that a host acts on. */
    int viewRevision(int host) {
        return cells[host(host, 2)];
    }

    void setViewRevision(int host, int revision) {
        cells[host(host, 2)] = (byte) revision;
    }

    int acknowledged(int host, int incarnation) {
        return cells[host(host, 3 + incarnation)];
    }

    void setAcknowledged(int host, int incarnation, int revision) {
        cells[host(host, 3 + incarnation)] = (byte) revision;
    }

    /** Returns the number of ticks until a successor may grant promises and acknowledge revisions. */
    int waitingTicks(int host) {
        return cells[host(host, 5)];
    }

    void setWaiting(int host, int ticks) {
        cells[host(host, 5)] = (byte) ticks;
    }

    private int pair(int from, int to, int field) {
        return 5 + 2 * (MAX_REVISIONS + 1) + hosts * 6 + (from * hosts + to) * 6 + field;
    }

    /** Returns the ticks for which {@code holder} still relies on the promise of {@code granter}. */
    int heldTicks(int holder, int granter) {
        return cells[pair(holder, granter, 0)];
    }

    int heldFromIncarnation(int holder, int granter) {
        return cells[pair(holder, granter, 1)];
    }

    void setHeld(int holder, int granter, int ticks, int incarnation) {
        cells[pair(holder, granter, 0)] = (byte) ticks;
        cells[pair(holder, granter, 1)] = (byte) (ticks == 0 ? 0 : incarnation);
    }

    /** Returns the ticks for which {@code granter} is still bound by its promise to {@code holder}. */
    int grantedTicks(int granter, int holder) {
        return cells[pair(granter, holder, 2)];
    }

    void setGranted(int granter, int holder, int ticks) {
        cells[pair(granter, holder, 2)] = (byte) ticks;
    }

    /** Returns the newest revision that {@code host} has received from {@code peer}. */
    int heardRevision(int host, int peer) {
        return cells[pair(host, peer, 3)];
    }

    void setHeardRevision(int host, int peer, int revision) {
        cells[pair(host, peer, 3)] = (byte) revision;
    }

    /**
     * Returns the ticks for which a promise granted on the heartbeat in transit would count; 0 when none is in
     * transit.
     */
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
