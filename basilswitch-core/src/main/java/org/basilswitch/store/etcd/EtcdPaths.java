package org.basilswitch.store.etcd;

/** Paths of the etcd v3 JSON gateway; all requests use POST. */
public final class EtcdPaths {
    public static final String RANGE = "/v3/kv/range";
    public static final String TXN = "/v3/kv/txn";
    public static final String COMPACTION = "/v3/kv/compaction";
    public static final String LEASE_GRANT = "/v3/lease/grant";
    public static final String LEASE_KEEP_ALIVE = "/v3/lease/keepalive";
    public static final String LEASE_REVOKE = "/v3/lease/revoke";
    public static final String WATCH = "/v3/watch";

    private EtcdPaths() {}
}
