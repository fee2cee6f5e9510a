package org.basilswitch.daemon.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;

/** Contents of a port's PEM files, as read at one time. */
public final class TlsMaterial {
    private final byte[] certificateChain;
    private final byte[] privateKey;
    private final Optional<byte[]> authority;

    private TlsMaterial(byte[] certificateChain, byte[] privateKey, Optional<byte[]> authority) {
        this.certificateChain = certificateChain;
        this.privateKey = privateKey;
        this.authority = authority;
    }

    /** Reads the files; blocks the calling thread. */
    static TlsMaterial read(TlsFiles files) throws IOException {
        Optional<byte[]> authority = files.clientAuthority().isPresent()
                ? Optional.of(Files.readAllBytes(files.clientAuthority().get()))
                : Optional.empty();
        return new TlsMaterial(
                Files.readAllBytes(files.certificateChain()), Files.readAllBytes(files.privateKey()), authority);
    }

    boolean hasSameContents(TlsMaterial other) {
        return Arrays.equals(certificateChain, other.certificateChain)
                && Arrays.equals(privateKey, other.privateKey)
                && Arrays.equals(authority.orElse(null), other.authority.orElse(null));
    }

    private PemKeyCertOptions keyCertOptions() {
        return new PemKeyCertOptions()
                .addCertValue(Buffer.buffer(certificateChain))
                .addKeyValue(Buffer.buffer(privateKey));
    }

    /** Configures TLS in a server's options, before it listens. */
    public void applyTo(NetServerOptions options) {
        options.setSsl(true).setKeyCertOptions(keyCertOptions());
        authority.ifPresent(pem -> options.setClientAuth(ClientAuth.REQUIRED).setTrustOptions(trustOptions(pem)));
    }

    /** Configures TLS in a client's options, before it connects. */
    public void applyTo(NetClientOptions options) {
        options.setSsl(true).setKeyCertOptions(keyCertOptions());
        authority.ifPresent(pem -> options.setTrustOptions(trustOptions(pem)));
    }

    private static PemTrustOptions trustOptions(byte[] pem) {
        return new PemTrustOptions().addCertValue(Buffer.buffer(pem));
    }

    /** Returns a server's TLS options; clients must present a certificate when an authority is given. */
    public ServerSSLOptions serverOptions() {
        ServerSSLOptions options = new ServerSSLOptions();
        options.setKeyCertOptions(keyCertOptions());
        authority.ifPresent(pem -> {
            options.setClientAuth(ClientAuth.REQUIRED);
            options.setTrustOptions(trustOptions(pem));
        });
        return options;
    }

    /** Returns the TLS options of a client that presents the same certificate and trusts the same authority. */
    public ClientSSLOptions clientOptions() {
        ClientSSLOptions options = new ClientSSLOptions();
        options.setKeyCertOptions(keyCertOptions());
        options.setHostnameVerificationAlgorithm("");
        authority.ifPresent(pem -> options.setTrustOptions(trustOptions(pem)));
        return options;
    }
}
