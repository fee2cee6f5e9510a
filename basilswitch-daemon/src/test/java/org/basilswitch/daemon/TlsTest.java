package org.basilswitch.daemon;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLHandshakeException;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.time.Duration;

import org.basilswitch.daemon.tls.TlsFiles;
import org.basilswitch.event.EventCode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests TLS of the ports and the reload of its files while the entry host runs. */
public final class TlsTest {
    private TestAuthority authority;
    private Path folder;
    private SiteFixture site;
    private LogCapture log;

    /** Starts a site whose three ports use TLS. */
    @BeforeMethod
    public void start() throws IOException, GeneralSecurityException {
        log = LogCapture.open();
        authority = TestAuthority.create("authority");
        folder = Files.createTempDirectory("basilswitch-tls");
        TlsFiles serverTls = authority.issue(Files.createDirectory(folder.resolve("callers")), "first", false);
        TlsFiles mutualTls = authority.issue(Files.createDirectory(folder.resolve("peers")), "peer", true);
        site = SiteFixture.startTls(
                SiteFixture.options()
                        .withTlsCheckInterval(Duration.ofMillis(100))
                        .withPorts(
                                ListenOptions.loopback().withTls(serverTls),
                                ListenOptions.loopback().withTls(serverTls),
                                ListenOptions.loopback().withTls(mutualTls)),
                trustingContext());
    }

    /** Stops the site. */
    @AfterMethod
    public void stop() {
        site.close();
        log.close();
    }

    private SSLSocket connect(int port) throws IOException, GeneralSecurityException {
        SSLSocket socket = (SSLSocket) trustingContext().getSocketFactory().createSocket("127.0.0.1", port);
        socket.startHandshake();
        return socket;
    }

    private SSLContext trustingContext() throws IOException, GeneralSecurityException {
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        trusted.setCertificateEntry("authority", authority.certificate());
        TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, trust.getTrustManagers(), null);
        return context;
    }

    private String subject(int port) {
        try (SSLSocket socket = connect(port)) {
            X509Certificate certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return certificate.getSubjectX500Principal().getName();
        } catch (IOException | GeneralSecurityException e) {
            throw new AssertionError(e);
        }
    }

    /** New connections use the replaced files; open connections stay open. */
    @Test
    public void replacedFilesAreReloaded() throws IOException, GeneralSecurityException {
        assertEquals(subject(site.server.callerPort()), "CN=first");
        try (SSLSocket open = connect(site.server.callerPort())) {
            authority.issue(folder.resolve("callers"), "second", false);
            SiteFixture.await(() -> subject(site.server.callerPort()).equals("CN=second"));
            SiteFixture.await(() -> subject(site.server.administrationPort()).equals("CN=second"));
            open.getOutputStream().write("POST /nowhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n".getBytes());
            assertEquals(open.getInputStream().read(), 'H');
        }
        SiteFixture.await(() -> log.hasEvent(EventCode.TLS_RELOADED));
    }

    /** Invalid files are logged, and the previous ones stay in use. */
    @Test
    public void invalidFilesKeepPreviousCertificate() throws IOException {
        Files.writeString(folder.resolve("callers").resolve("chain.pem"), "not a certificate");
        SiteFixture.await(() -> log.hasEvent(EventCode.TLS_RELOAD_FAILED));
        assertEquals(subject(site.server.callerPort()), "CN=first");
    }

    /** The peer port rejects clients without a certificate of the authority. */
    @Test
    public void peerWithoutCertificateIsRejected() throws IOException, GeneralSecurityException {
        try (SSLSocket socket = connect(site.server.peerPort())) {
            assertThrows(IOException.class, () -> readToEnd(socket));
        } catch (SSLHandshakeException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    private static void readToEnd(Socket socket) throws IOException {
        socket.getInputStream().readAllBytes();
    }
}
