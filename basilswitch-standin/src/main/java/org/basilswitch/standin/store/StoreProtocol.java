package org.basilswitch.standin.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.basilswitch.store.CommitResult;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.CompactionRequest;
import org.basilswitch.store.etcd.EtcdMessages.Compare;
import org.basilswitch.store.etcd.EtcdMessages.ErrorResponse;
import org.basilswitch.store.etcd.EtcdMessages.Event;
import org.basilswitch.store.etcd.EtcdMessages.Header;
import org.basilswitch.store.etcd.EtcdMessages.HeaderResponse;
import org.basilswitch.store.etcd.EtcdMessages.KeyValue;
import org.basilswitch.store.etcd.EtcdMessages.LeaseGrantRequest;
import org.basilswitch.store.etcd.EtcdMessages.LeaseKeepAliveResult;
import org.basilswitch.store.etcd.EtcdMessages.LeaseRequest;
import org.basilswitch.store.etcd.EtcdMessages.LeaseResponse;
import org.basilswitch.store.etcd.EtcdMessages.RangeRequest;
import org.basilswitch.store.etcd.EtcdMessages.RangeResponse;
import org.basilswitch.store.etcd.EtcdMessages.RequestOp;
import org.basilswitch.store.etcd.EtcdMessages.ResponseOp;
import org.basilswitch.store.etcd.EtcdMessages.TxnRequest;
import org.basilswitch.store.etcd.EtcdMessages.TxnResponse;

/** Executes the unary calls of the etcd v3 JSON mapping on a {@link MemoryStore}. */
final class StoreProtocol {
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final MemoryStore store;

    private StoreProtocol(MemoryStore store) {
        this.store = store;
    }

    static StoreProtocol of(MemoryStore store) {
        return new StoreProtocol(store);
    }

    /** Executes a call and returns its response message, or an {@link ErrorResponse} if it had no effect. */
    Object call(StoreCounts.Kind kind, byte[] body) {
        return switch (kind) {
            case RANGE -> decodeAndApply(body, RangeRequest.class, this::range);
            case TXN -> decodeAndApply(body, TxnRequest.class, this::commit);
            case COMPACTION -> decodeAndApply(body, CompactionRequest.class, this::compact);
            case LEASE_GRANT -> decodeAndApply(body, LeaseGrantRequest.class, this::grant);
            case LEASE_KEEP_ALIVE -> decodeAndApply(body, LeaseRequest.class, this::keepAlive);
            case LEASE_REVOKE -> decodeAndApply(body, LeaseRequest.class, this::revoke);
            case WATCH -> throw new IllegalArgumentException("a watch is not a unary call");
        };
    }

    private static <T> Object decodeAndApply(
            byte[] body, Class<T> type, java.util.function.Function<T, Object> action) {
        Optional<T> request = EtcdJson.decode(body, type);
        return request.isPresent()
                ? action.apply(request.get())
                : error(ErrorResponse.INVALID_ARGUMENT, "the body is not a " + type.getSimpleName());
    }

    static ErrorResponse error(int code, String message) {
        return new ErrorResponse(message, message, code);
    }

    private Header header() {
        return new Header(store.revision());
    }

    private Object range(RangeRequest request) {
        if (request.key() == null) {
            return error(ErrorResponse.INVALID_ARGUMENT, "etcdserver: key is not provided");
        }
        String key = EtcdJson.key(request.key());
        if (request.rangeEnd() == null) {
            return rangeResponse(store.get(key).stream().toList());
        }
        if (!Arrays.equals(request.rangeEnd(), EtcdJson.prefixEnd(key))) {
            return error(ErrorResponse.INVALID_ARGUMENT, "the stand-in reads single keys and prefixes only");
        }
        return rangeResponse(store.range(key).entries());
    }

    private RangeResponse rangeResponse(List<PlatformStore.Entry> entries) {
        return new RangeResponse(
                header(), entries.stream().map(StoreProtocol::keyValue).toList(), entries.size());
    }

    static KeyValue keyValue(PlatformStore.Entry entry) {
        return new KeyValue(
                EtcdJson.keyBytes(entry.key()), entry.value(), entry.createRevision(), entry.modRevision(), 0);
    }

    private Object commit(TxnRequest request) {
        Transaction.Builder builder = Transaction.builder();
        for (Compare compare : request.compare()) {
            if (!Compare.TARGET_MOD.equals(compare.target()) || !Compare.RESULT_EQUAL.equals(compare.result())) {
                return error(ErrorResponse.INVALID_ARGUMENT, "the stand-in compares equal modification revisions only");
            }
            builder.compare(EtcdJson.key(compare.key()), compare.modRevision());
        }
        for (RequestOp operation : request.success()) {
            Optional<ErrorResponse> invalid = addOperation(builder, operation);
            if (invalid.isPresent()) {
                return invalid.get();
            }
        }
        Transaction transaction = builder.build();
        OptionalLong expiredLease = store.expiredLease(transaction);
        return expiredLease.isPresent()
                ? leaseNotFound()
                : transactionResponse(store.commit(transaction), request.failure());
    }

    private static Optional<ErrorResponse> addOperation(Transaction.Builder builder, RequestOp operation) {
        if (operation.requestDeleteRange() != null) {
            builder.delete(EtcdJson.key(operation.requestDeleteRange().key()));
            return Optional.empty();
        }
        if (operation.requestPut() == null) {
            return Optional.of(error(ErrorResponse.INVALID_ARGUMENT, "the stand-in writes puts and deletions only"));
        }
        byte[] value = operation.requestPut().value() == null
                ? new byte[0]
                : operation.requestPut().value();
        if (value.length > MAX_VALUE_BYTES) {
            return Optional.of(error(ErrorResponse.INVALID_ARGUMENT, "etcdserver: request is too large"));
        }
        String key = EtcdJson.key(operation.requestPut().key());
        if (operation.requestPut().lease() == 0) {
            builder.put(key, value);
        } else {
            builder.put(key, value, operation.requestPut().lease());
        }
        return Optional.empty();
    }

    private Object transactionResponse(CommitResult result, List<RequestOp> failure) {
        return switch (result) {
            case CommitResult.Committed committed -> new TxnResponse(new Header(committed.revision()), true, List.of());
            case CommitResult.Conflict conflict ->
                new TxnResponse(new Header(conflict.revision()), false, readAll(failure));
        };
    }

    private List<ResponseOp> readAll(List<RequestOp> operations) {
        List<ResponseOp> responses = new ArrayList<>();
        for (RequestOp operation : operations) {
            boolean read = operation.requestRange() != null;
            Object result = read ? range(operation.requestRange()) : Optional.empty();
            responses.add(new ResponseOp(result instanceof RangeResponse response ? response : null));
        }
        return responses;
    }

    private Object compact(CompactionRequest request) {
        if (request.revision() > store.revision()) {
            return error(ErrorResponse.OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision");
        }
        store.compact(request.revision());
        return new HeaderResponse(header());
    }

    private Object grant(LeaseGrantRequest request) {
        if (request.ttl() < 1) {
            return error(ErrorResponse.INVALID_ARGUMENT, "the time to live has to be at least 1 s");
        }
        long id = store.grantLease(Duration.ofSeconds(request.ttl()));
        return new LeaseResponse(header(), id, request.ttl());
    }

    private Object keepAlive(LeaseRequest request) {
        long ttlSeconds = store.keepAlive(request.id()) ? 1 : 0;
        return new LeaseKeepAliveResult(new LeaseResponse(header(), request.id(), ttlSeconds));
    }

    private Object revoke(LeaseRequest request) {
        return store.revokeLease(request.id()) ? new HeaderResponse(header()) : leaseNotFound();
    }

    private static ErrorResponse leaseNotFound() {
        return error(ErrorResponse.NOT_FOUND, "etcdserver: requested lease not found");
    }

    static Event event(PlatformStore.Change change) {
        return change.entry()
                .map(entry -> new Event(null, keyValue(entry)))
                .orElseGet(() -> new Event(
                        Event.DELETE, new KeyValue(EtcdJson.keyBytes(change.key()), null, 0, change.modRevision(), 0)));
    }
}
