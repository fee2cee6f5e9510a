package org.basilswitch.standin.store;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.Header;
import org.basilswitch.store.etcd.EtcdMessages.WatchCreateRequest;
import org.basilswitch.store.etcd.EtcdMessages.WatchResponse;
import org.basilswitch.store.etcd.EtcdMessages.WatchResult;

/** One open watch: a streamed response of newline-delimited JSON messages. */
final class WatchStream implements PlatformStore.WatchListener, AutoCloseable {
    private static final long PROGRESS_INTERVAL_MS = 2000;

    private final MemoryStore store;
    private final Vertx vertx;
    private final HttpServerResponse response;
    private Optional<PlatformStore.Watch> watch = Optional.empty();
    private long progressTimer = -1;
    private boolean closed;

    private WatchStream(MemoryStore store, Vertx vertx, HttpServerResponse response) {
        this.store = store;
        this.vertx = vertx;
        this.response = response;
    }

    static WatchStream open(MemoryStore store, Vertx vertx, HttpServerResponse response, WatchCreateRequest request) {
        WatchStream stream = new WatchStream(store, vertx, response);
        stream.start(request);
        return stream;
    }

    private void start(WatchCreateRequest request) {
        response.setChunked(true);
        response.closeHandler(ignored -> close());
        response.exceptionHandler(ignored -> close());
        write(new WatchResponse(new Header(store.revision()), true, false, 0, List.of()));
        long fromRevision = request.startRevision() == 0 ? store.revision() + 1 : request.startRevision();
        watch = Optional.of(store.watch(EtcdJson.key(request.key()), fromRevision, this));
        if (!closed && request.progressNotify()) {
            progressTimer = vertx.setPeriodic(PROGRESS_INTERVAL_MS, ignored -> writeProgress());
        }
    }

    private void writeProgress() {
        write(new WatchResponse(new Header(store.revision()), false, false, 0, List.of()));
    }

    private void write(WatchResponse message) {
        if (!closed && !response.ended()) {
            response.write(
                    Buffer.buffer(EtcdJson.encode(new WatchResult(message))).appendByte((byte) '\n'));
        }
    }

    @Override
    public void onChanges(long revision, List<PlatformStore.Change> changes) {
        write(new WatchResponse(
                new Header(revision),
                false,
                false,
                0,
                changes.stream().map(StoreProtocol::event).toList()));
    }

    @Override
    public void onCompacted(long compactRevision) {
        write(new WatchResponse(new Header(store.revision()), false, true, compactRevision, List.of()));
        closed = true;
        response.end();
    }

    @Override
    public void close() {
        closed = true;
        watch.ifPresent(PlatformStore.Watch::close);
        vertx.cancelTimer(progressTimer);
    }
}
