package org.basilswitch.store.etcd;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The requests and answers of the mapping, reduced to the fields that this project uses; absent lists are empty. */
public final class EtcdMessages {

    private EtcdMessages() {}

    private static <T> List<T> listOf(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /** Header of each answer: the store's revision. */
    public record Header(long revision) {}

    /** One key with its value. */
    public record KeyValue(byte[] key, byte[] value, long createRevision, long modRevision, long lease) {}

    /** Reads one key, or the keys up to {@code rangeEnd}. */
    public record RangeRequest(byte[] key, byte[] rangeEnd) {}

    /** The keys found. */
    public record RangeResponse(Header header, List<KeyValue> kvs, long count) {
        /** Replaces absent lists. */
        public RangeResponse {
            kvs = listOf(kvs);
        }
    }

    /** Stores a value. */
    public record PutRequest(byte[] key, byte[] value, long lease) {}

    /** Deletes one key. */
    public record DeleteRangeRequest(byte[] key) {}

    /** One operation of a transaction; exactly one field is set. */
    public record RequestOp(RangeRequest requestRange, PutRequest requestPut, DeleteRangeRequest requestDeleteRange) {}

    /** Compares a key's modification revision. */
    public record Compare(byte[] key, String target, String result, long modRevision) {
        public static final String TARGET_MOD = "MOD";
        public static final String RESULT_EQUAL = "EQUAL";
    }

    /** A transaction. */
    public record TxnRequest(List<Compare> compare, List<RequestOp> success, List<RequestOp> failure) {
        /** Replaces absent lists. */
        public TxnRequest {
            compare = listOf(compare);
            success = listOf(success);
            failure = listOf(failure);
        }
    }

    /** The answer of one operation of a transaction. */
    public record ResponseOp(RangeResponse responseRange) {}

    /** The outcome of a transaction. */
    public record TxnResponse(Header header, boolean succeeded, List<ResponseOp> responses) {
        /** Replaces absent lists. */
        public TxnResponse {
            responses = listOf(responses);
        }
    }

    /** Forgets history. */
    public record CompactionRequest(long revision) {}

    /** An answer with nothing but a header. */
    public record HeaderResponse(Header header) {}

    /** Grants a lease; the time to live is in seconds. */
    public record LeaseGrantRequest(@JsonProperty("TTL") long ttl) {}

    /** Names a lease to keep alive or revoke. */
    public record LeaseRequest(@JsonProperty("ID") long id) {}

    /** A granted or extended lease; a time to live of 0 s means that it has lapsed. */
    public record LeaseResponse(
            Header header,
            @JsonProperty("ID") long id,
            @JsonProperty("TTL") long ttl) {}

    /** One message of the keep-alive stream. */
    public record LeaseKeepAliveResult(LeaseResponse result) {}

    /** Opens a watch. */
    public record WatchRequest(WatchCreateRequest createRequest) {}

    /** What to watch, and from which revision. */
    public record WatchCreateRequest(byte[] key, byte[] rangeEnd, long startRevision, boolean progressNotify) {}

    /** One message of the watch stream. */
    public record WatchResult(WatchResponse result) {}

    /** Events of one revision, the watch's creation, its cancellation, or with no events its progress. */
    public record WatchResponse(
            Header header, boolean created, boolean canceled, long compactRevision, List<Event> events) {
        /** Replaces absent lists. */
        public WatchResponse {
            events = listOf(events);
        }
    }

    /** A change; an absent type is a put. */
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
