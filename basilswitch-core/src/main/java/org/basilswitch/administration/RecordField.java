package org.basilswitch.administration;

/** Allowed ranges of the records' numeric fields, for records in settings and in changes. */
public enum RecordField {
    TEAM_SHARE_WEIGHT("teams", "shareWeight", 1, 1_000),
    TEAM_LIMIT_TASKS("teams", "limitTasks", 0, 1 << 20),
    POOL_MIN_AVAILABLE_HOSTS("pools", "minAvailableHosts", 0, 100_000),
    HOST_SLOTS("hosts", "slots", 1, 10_000),
    HOST_CONNECTIONS("hosts", "connections", 1, 100_000),
    HOST_PROCESSORS("hosts", "processors", 1, 4_096),
    HOST_MEMORY_BYTES("hosts", "memoryBytes", 1 << 20, 1L << 44),
    HOST_ACCELERATORS("hosts", "accelerators", 0, 64),
    QUEUE_CLAIM_TIME_MS("queues", "claimTimeMs", 1_000, 168 * 3_600_000L),
    QUEUE_DEADLINE_MS("queues", "deadlineMs", 10, 24 * 3_600_000L),
    QUEUE_BODY_LIMIT_BYTES("queues", "bodyLimitBytes", 0, 1L << 30),
    QUEUE_QUEUED_LIMIT_REQUESTS("queues", "queuedLimitRequests", 0, 1 << 20),
    WAVE_MAX_CONCURRENT_HOSTS("waves", "maxConcurrentHosts", 1, 100_000);

    private final String kind;
    private final String field;
    private final long min;
    private final long max;

    RecordField(String kind, String field, long min, long max) {
        this.kind = kind;
        this.field = field;
        this.min = min;
        this.max = max;
    }

    /** Returns the kind of the record. */
    public String kind() {
        return kind;
    }

    /** Returns the name of the field in JSON. */
    public String field() {
        return field;
    }

    /** Returns the smallest allowed value. */
    public long min() {
        return min;
    }

    /** Returns the largest allowed value. */
    public long max() {
        return max;
    }

    /** Returns whether a value is within the allowed range. */
    public boolean allows(long value) {
        return value >= min && value <= max;
    }
}
