package org.basilswitch.daemon.tls;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;

/** Loads the TLS options of ports from PEM files and reloads them when the files change. */
public final class TlsReloader implements AutoCloseable {
    private final Vertx vertx;
    private final Telemetry telemetry;
    private final Duration checkInterval;
    private final List<BoundPort> ports = new ArrayList<>();
    private Optional<Long> timerId = Optional.empty();

    private TlsReloader(Vertx vertx, Telemetry telemetry, Duration interval) {
        this.vertx = vertx;
        this.telemetry = telemetry;
        this.checkInterval = interval;
    }

    /** Creates a reloader that checks the files' contents for changes at an interval. */
    public static TlsReloader create(Vertx vertx, Telemetry telemetry, Duration interval) {
        return new TlsReloader(vertx, telemetry, interval);
    }

    /**
     * Loads a port's files, opens the port with them, and updates the port whenever their contents change.
     *
     * @param files the PEM files; when empty, the port is opened without TLS
     * @param open opens the port
     * @param update applies changed contents to the open port
     * @return completes when the port is open; fails when the files can't be loaded or the port can't be opened
     */
    public Future<Void> bind(
            Optional<TlsFiles> files,
            Function<Optional<TlsMaterial>, Future<?>> open,
            Function<TlsMaterial, Future<?>> update) {
        if (files.isEmpty()) {
            return open.apply(Optional.empty()).mapEmpty();
        }
        BoundPort entry = new BoundPort(files.get(), update);
        return read(entry.files)
                .compose(material -> {
                    entry.material = material;
                    return open.apply(Optional.of(material)).onSuccess(opened -> {
                        ports.add(entry);
                        startTimer();
                    });
                })
                .mapEmpty();
    }

    private void startTimer() {
        if (timerId.isEmpty()) {
            timerId = Optional.of(vertx.setPeriodic(checkInterval.toMillis(), id -> checkFiles()));
        }
    }

    private Future<TlsMaterial> read(TlsFiles files) {
        return vertx.executeBlocking(() -> TlsMaterial.read(files), false);
    }

    private void checkFiles() {
        for (BoundPort entry : ports) {
            read(entry.files)
                    .onSuccess(material -> reload(entry, material))
                    .onFailure(error -> logFailure(entry, error));
        }
    }

    private void reload(BoundPort entry, TlsMaterial material) {
        if (material.hasSameContents(entry.material)) {
            return;
        }
        entry.material = material;
        entry.update
                .apply(material)
                .onSuccess(done -> telemetry.event(EventCode.TLS_RELOADED, entry.detail()))
                .onFailure(error -> logFailure(entry, error));
    }

    private void logFailure(BoundPort entry, Throwable error) {
        telemetry.event(EventCode.TLS_RELOAD_FAILED, entry.detail() + " error=" + error.getMessage());
    }

    @Override
    public void close() {
        timerId.ifPresent(vertx::cancelTimer);
    }

    private static final class BoundPort {
        private final TlsFiles files;
        private final Function<TlsMaterial, Future<?>> update;
        private TlsMaterial material;

        private BoundPort(TlsFiles files, Function<TlsMaterial, Future<?>> target) {
            this.files = files;
            this.update = target;
        }

        private String detail() {
            return "file=" + files.certificateChain().getFileName();
        }
    }
}
