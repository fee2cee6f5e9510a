package org.basilswitch.daemon;

import java.util.Optional;

import org.basilswitch.daemon.tls.TlsFiles;

/**
 * Where a port listens.
 *
 * @param ip IP address
 * @param port port; 0 takes a free one
 * @param tls PEM files; empty for plain TCP
 */
public record ListenOptions(String ip, int port, Optional<TlsFiles> tls) {

    /** A free port on the loopback address, without TLS. */
    public static ListenOptions loopback() {
        return new ListenOptions("127.0.0.1", 0, Optional.empty());
    }

    /** The same address with TLS. */
    public ListenOptions withTls(TlsFiles files) {
        return new ListenOptions(ip, port, Optional.of(files));
    }
}
