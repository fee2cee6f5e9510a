package org.basilswitch.daemon.store;

import org.basilswitch.store.etcd.EtcdPaths;

/** Kinds of calls to the store, each with its HTTP path and whether it is idempotent. */
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

    /** Returns the HTTP path, relative to an endpoint's base URL. */
    public String path() {
        return path;
    }

    /** Returns whether a retry after a lost response has the same effect and result as a single call. */
    public boolean isIdempotent() {
        return idempotent;
    }

    /** Returns the kind as the value of a metric tag, such as {@code lease-grant}. */
    public String tag() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
