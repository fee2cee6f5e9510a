package org.basilswitch.daemon.store;

import org.basilswitch.store.etcd.EtcdPaths;

/** Kinds of calls to the store, each with its path and whether it may be sent again. */
public enum StoreCall {
    GET(EtcdPaths.RANGE, true),
    RANGE(EtcdPaths.RANGE, true),
    COMMIT(EtcdPaths.TXN, false),
    LEASE_GRANT(EtcdPaths.LEASE_GRANT, false),
    LEASE_KEEP_ALIVE(EtcdPaths.LEASE_KEEP_ALIVE, true),
    LEASE_REVOKE(EtcdPaths.LEASE_REVOKE, false),
    WATCH(EtcdPaths.WATCH, true);

    private final String path;
    private final boolean idempotent;

    StoreCall(String path, boolean idempotent) {
        this.path = path;
        this.idempotent = idempotent;
    }

    /** Path below an endpoint. */
    public String path() {
        return path;
    }

    /** Whether sending the call again after a lost answer gives the same effect and answer. */
    public boolean idempotent() {
        return idempotent;
    }

    /** The kind as a metric's tag. */
    public String tag() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
