package org.basilswitch.daemon.tls;

import java.nio.file.Path;
import java.util.Optional;

/**
 * PEM files for the TLS of a port.
 *
 * @param certificateChain certificate chain, the port's own certificate first
 * @param privateKey private key in PKCS #8
 * @param clientAuthority certificates of the authorities that sign client certificates; when present, clients must
 *     present a certificate
 */
public record TlsFiles(Path certificateChain, Path privateKey, Optional<Path> clientAuthority) {}
