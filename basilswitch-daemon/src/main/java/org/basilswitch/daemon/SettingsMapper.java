package org.basilswitch.daemon;

import java.net.URI;
import java.util.List;
import java.util.Optional;

import io.vertx.core.net.HostAndPort;
import org.basilswitch.backpressure.ConnectionLimits;
import org.basilswitch.daemon.livelist.LiveListOptions;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import org.basilswitch.daemon.tls.TlsFiles;

/** Maps a site's settings to the options of an entry host. */
public final class SettingsMapper {
    /** Part of the heap that callers' buffers may take: the requests in work and the fleet's state need the rest. */
    private static final int HEAP_BYTES_PER_BUFFER_BYTE = 4;

    private SettingsMapper() {}

    /** Returns the process options of one of the site's entry hosts. */
    public static DaemonOptions daemon(Settings settings, Settings.EntryHostSettings host) {
        Settings.DaemonLimits limits = settings.limits();
        Settings.TlsSettings tls = settings.tls();
        return new DaemonOptions(
                settings.site(),
                host.name(),
                host.zone(),
                listen(host.callerAddress(), tls.caller()),
                listen(host.administrationAddress(), tls.administration()),
                listen(host.peerAddress(), tls.peer()),
                storeEndpoints(settings).stream().map(URI::toString).toList(),
                tls.reloadInterval(),
                new DaemonOptions.PeerTiming(
                        settings.membership().promiseTime(),
                        settings.membership().heartbeatInterval(),
                        settings.membership().clockDriftRatio()),
                caller(limits),
                worker(settings),
                new ShutdownOptions(limits.balancerWait(), limits.shutdownGrace()));
    }

    /** Returns the options of the client for the platform's store. */
    public static EtcdStoreOptions store(Settings settings) {
        EtcdStoreOptions defaults = EtcdStoreOptions.of(storeEndpoints(settings));
        return new EtcdStoreOptions(
                defaults.endpoints(),
                settings.store().connectTimeout(),
                settings.store().callTimeout(),
                Math.max(1, settings.store().retryLimitAttempts()),
                defaults.watchIdleTimeout(),
                defaults.connections());
    }

    private static List<URI> storeEndpoints(Settings settings) {
        return settings.store().endpoints().stream()
                .map(address -> URI.create("http://" + address.host() + ":" + address.port()))
                .toList();
    }

    private static ListenOptions listen(HostAndPort address, Optional<Settings.Certificate> certificate) {
        Optional<TlsFiles> files =
                certificate.map(pem -> new TlsFiles(pem.certificatePath(), pem.keyPath(), pem.authorityPath()));
        return new ListenOptions(address.host(), address.port(), files);
    }

    private static CallerOptions caller(Settings.DaemonLimits limits) {
        CallerOptions defaults = CallerOptions.defaults();
        long bufferBytes =
                Math.min(limits.callerBufferBytes(), Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_BUFFER_BYTE);
        return new CallerOptions(
                limits.headerLimitBytes(),
                limits.bodyLimitBytes(),
                defaults.replayBodyBytes(),
                limits.callerIdleTimeout(),
                limits.callerIdleTimeout(),
                ConnectionLimits.of(bufferBytes, limits.callerConnections())
                        .withMaxConnectionsPerAddress(limits.callerConnectionsPerAddress()));
    }

    private static WorkerClientOptions worker(Settings settings) {
        WorkerClientOptions defaults = WorkerClientOptions.defaults();
        Optional<LiveListOptions> liveList = settings.liveHosts()
                .address()
                .map(address ->
                        new LiveListOptions(address, settings.liveHosts().pollInterval()));
        return new WorkerClientOptions(
                defaults.connectTimeout(), settings.limits().serverIdleTimeout(), defaults.startWindow(), liveList);
    }
}
