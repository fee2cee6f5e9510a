package org.basilswitch.store.etcd;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Requests and responses of the etcd v3 JSON gateway, reduced to the fields used here; absent lists become empty. */
public final class EtcdMessages {

    private EtcdMessages() {}

    private static <T> List<T> listOf(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /** Header of every response, with the store's revision. */
    public record Header(long revision) {}

    /** A key with its value and its lease; a lease of 0 means none. */
    public record KeyValue(byte[] key, byte[] value, long createRevision, long modRevision, long lease) {}

    /** Reads one key, or with {@code rangeEnd} the keys from {@code key} up to but excluding it. */
    public record RangeRequest(byte[] key, byte[] rangeEnd) {}

    /** The entries found and their number. */
    public record RangeResponse(Header header, List<KeyValue> kvs, long count) {
        /** Replaces absent lists by empty ones. */
        public RangeResponse {
            kvs = listOf(kvs);
        }
    }

    /** Stores a value; a lease of 0 means none. */
    public record PutRequest(byte[] key, byte[] value, long lease) {}

    /** Deletes one key. */
    public record DeleteRangeRequest(byte[] key) {}

    /** An operation of a transaction; exactly one field is set. */
    public record RequestOp(RangeRequest requestRange, PutRequest requestPut, DeleteRangeRequest requestDeleteRange) {}

    /** Requires that a key has a modification revision. */
    public record Compare(byte[] key, String target, String result, long modRevision) {
        public static final String TARGET_MOD = "MOD";
        public static final String RESULT_EQUAL = "EQUAL";
    }

    /** A transaction: {@code success} is executed when all comparisons hold, {@code failure} otherwise. */
    public record TxnRequest(List<Compare> compare, List<RequestOp> success, List<RequestOp> failure) {
        /** Replaces absent lists by empty ones. */
        public TxnRequest {
            compare = listOf(compare);
            success = listOf(success);
            failure = listOf(failure);
        }
    }

    /** The response to one operation of a transaction. */
    public record ResponseOp(RangeResponse responseRange) {}

    /** The response to a transaction; {@code succeeded} tells whether all comparisons held. */
    public record TxnResponse(Header header, boolean succeeded, List<ResponseOp> responses) {
        /** Replaces absent lists by empty ones. */
        public TxnResponse {
            responses = listOf(responses);
        }
    }

    /** Compacts the history up to a revision. */
    public record CompactionRequest(long revision) {}

    /** A response that has only a header. */
    public record HeaderResponse(Header header) {}

    /** Grants a lease; the time to live is in seconds. */
    public record LeaseGrantRequest(@JsonProperty("TTL") long ttl) {}

    /** Identifies the lease to keep alive or revoke. */
    public record LeaseRequest(@JsonProperty("ID") long id) {}

    /** A granted or extended lease; a time to live of 0 s means that the lease has expired. */
    public record LeaseResponse(
            Header header,
            @JsonProperty("ID") long id,
            @JsonProperty("TTL") long ttl) {}

    /** A message of the keep-alive stream. */
    public record LeaseKeepAliveResult(LeaseResponse result) {}

    /** Opens a watch. */
    public record WatchRequest(WatchCreateRequest createRequest) {}

    /** The key or range to watch and the first revision to deliver. */
    public record WatchCreateRequest(byte[] key, byte[] rangeEnd, long startRevision, boolean progressNotify) {}

    /** A message of the watch stream. */
    public record WatchResult(WatchResponse result) {}

    /** Events of one revision, the watch's creation or cancellation, or without events a progress notification. */
    public record WatchResponse(
            Header header, boolean created, boolean canceled, long compactRevision, List<Event> events) {
        /** Replaces absent lists by empty ones. */
        public WatchResponse {
            events = listOf(events);
        }
    }

    /** A change of a key; the type is absent for a put. */
    public record Event(String type, KeyValue kv) {
        public static final String DELETE = "DELETE";
    }

    /** An error with its gRPC status code. */
    public record ErrorResponse(String error, String message, int code) {
        public static final int INVALID_ARGUMENT = 3;
        public static final int NOT_FOUND = 5;
        public static final int RESOURCE_EXHAUSTED = 8;
        public static final int OUT_OF_RANGE = 11;
        public static final int UNAVAILABLE = 14;
    }
}
