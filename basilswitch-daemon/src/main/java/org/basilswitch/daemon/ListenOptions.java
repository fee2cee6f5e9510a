package org.basilswitch.daemon;

import java.util.Optional;

import org.basilswitch.daemon.tls.TlsFiles;

/**
 * Address on which a port listens, and its TLS files.
 *
 * @param ip IP address
 * @param port port number; 0 selects a free port
 * @param tls PEM files; empty for no TLS
 */
public record ListenOptions(String ip, int port, Optional<TlsFiles> tls) {

    /** Creates options for a free port on the loopback address, without TLS. */
    public static ListenOptions loopback() {
        return new ListenOptions("127.0.0.1", 0, Optional.empty());
    }

    /** Returns a copy with TLS. */
    public ListenOptions withTls(TlsFiles files) {
        return new ListenOptions(ip, port, Optional.of(files));
    }
}
