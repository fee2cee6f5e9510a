package org.basilswitch.daemon.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreError.Reason;
import org.basilswitch.store.Transaction;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.Compare;
import org.basilswitch.store.etcd.EtcdMessages.DeleteRangeRequest;
import org.basilswitch.store.etcd.EtcdMessages.Event;
import org.basilswitch.store.etcd.EtcdMessages.KeyValue;
import org.basilswitch.store.etcd.EtcdMessages.LeaseKeepAliveResult;
import org.basilswitch.store.etcd.EtcdMessages.PutRequest;
import org.basilswitch.store.etcd.EtcdMessages.RangeRequest;
import org.basilswitch.store.etcd.EtcdMessages.RangeResponse;
import org.basilswitch.store.etcd.EtcdMessages.RequestOp;
import org.basilswitch.store.etcd.EtcdMessages.ResponseOp;
import org.basilswitch.store.etcd.EtcdMessages.TxnRequest;
import org.basilswitch.store.etcd.EtcdMessages.TxnResponse;

/** Converts between the messages of the etcd JSON gateway and the types of {@link PlatformStore}. */
final class EtcdTranslation {

    private EtcdTranslation() {}

    static TxnRequest request(Transaction transaction) {
        return new TxnRequest(
                transaction.compares().stream().map(EtcdTranslation::compare).toList(),
                transaction.writes().stream().map(EtcdTranslation::write).toList(),
                transaction.compares().stream().map(EtcdTranslation::read).toList());
    }

    private static Compare compare(Transaction.Compare compare) {
        return new Compare(
                EtcdJson.keyBytes(compare.key()), Compare.TARGET_MOD, Compare.RESULT_EQUAL, compare.modRevision());
    }

    private static RequestOp write(Transaction.Write write) {
        byte[] key = EtcdJson.keyBytes(write.key());
        return switch (write) {
            case Transaction.Put put ->
                new RequestOp(
                        null, new PutRequest(key, put.value(), put.leaseId().orElse(0)), null);
            case Transaction.Delete delete -> new RequestOp(null, null, new DeleteRangeRequest(key));
        };
    }

    private static RequestOp read(Transaction.Compare compare) {
        return new RequestOp(new RangeRequest(EtcdJson.keyBytes(compare.key()), null), null, null);
    }

    static <T> Either<StoreError, T> malformed() {
        return Either.left(new StoreError.Unknown(Reason.MALFORMED_ANSWER, "the store's answer can't be decoded"));
    }

    static Either<StoreError, Optional<PlatformStore.Entry>> firstEntry(RangeResponse response) {
        return Either.right(response.kvs().stream().findFirst().map(EtcdTranslation::entry));
    }

    static Either<StoreError, PlatformStore.Range> range(RangeResponse response) {
        if (response.header() == null) {
            return malformed();
        }
        List<PlatformStore.Entry> entries =
                response.kvs().stream().map(EtcdTranslation::entry).toList();
        return Either.right(new PlatformStore.Range(response.header().revision(), entries));
    }

    static PlatformStore.Entry entry(KeyValue keyValue) {
        byte[] value = keyValue.value() == null ? new byte[0] : keyValue.value();
        return new PlatformStore.Entry(
                EtcdJson.key(keyValue.key()), value, keyValue.createRevision(), keyValue.modRevision());
    }

    static Either<StoreError, CommitResult> commitResult(TxnResponse response) {
        if (response.header() == null) {
            return malformed();
        }
        long revision = response.header().revision();
        if (response.succeeded()) {
            return Either.right(new CommitResult.Committed(revision));
        }
        List<Optional<PlatformStore.Entry>> current =
                response.responses().stream().map(EtcdTranslation::current).toList();
        return Either.right(new CommitResult.Conflict(revision, current));
    }

    private static Optional<PlatformStore.Entry> current(ResponseOp response) {
        return Optional.ofNullable(response.responseRange())
                .flatMap(range -> range.kvs().stream().findFirst())
                .map(EtcdTranslation::entry);
    }

    static Either<StoreError, Long> keepAliveResult(long leaseId, LeaseKeepAliveResult answer) {
        if (answer.result() == null || answer.result().id() != leaseId) {
            return malformed();
        }
        return answer.result().ttl() > 0
                ? Either.right(leaseId)
                : Either.left(new StoreError.Refused(Reason.LEASE_LAPSED, "lease " + leaseId));
    }

    static PlatformStore.Change change(Event event) {
        KeyValue keyValue = event.kv();
        Optional<PlatformStore.Entry> entry =
                Event.DELETE.equals(event.type()) ? Optional.empty() : Optional.of(entry(keyValue));
        return new PlatformStore.Change(EtcdJson.key(keyValue.key()), entry, keyValue.modRevision());
    }

    static long secondsRoundedUp(Duration duration) {
        return Math.max(1, duration.plusSeconds(1).minusNanos(1).toSeconds());
    }
}
