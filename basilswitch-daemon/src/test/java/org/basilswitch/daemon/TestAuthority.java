package org.basilswitch.daemon;

import java.io.IOException;
import java.io.Writer;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.Optional;

import org.basilswitch.daemon.tls.TlsFiles;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority for tests that issues certificates as PEM files. */
final class TestAuthority {
    private static final Duration VALIDITY = Duration.ofDays(1);

    private final KeyPair keys;
    private final X509Certificate certificate;
    private long serial = 1;

    private TestAuthority(String name) {
        try {
            keys = newKeys();
            certificate = sign(new X500Name("CN=" + name), keys, keys.getPrivate(), new X500Name("CN=" + name), true);
        } catch (GeneralSecurityException | OperatorCreationException | IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static TestAuthority create(String name) {
        return new TestAuthority(name);
    }

    private static KeyPair newKeys() throws GeneralSecurityException {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"));
        return generator.generateKeyPair();
    }

    private X509Certificate sign(X500Name subject, KeyPair subjectKeys, PrivateKey key, X500Name issuer, boolean ca)
            throws GeneralSecurityException, OperatorCreationException, IOException {
        Instant now = Instant.now();
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                issuer,
                BigInteger.valueOf(serial++),
                Date.from(now.minus(VALIDITY)),
                Date.from(now.plus(VALIDITY)),
                subject,
                subjectKeys.getPublic());
        builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(ca));
        GeneralNames names = new GeneralNames(new GeneralName(GeneralName.iPAddress, "127.0.0.1"));
        builder.addExtension(Extension.subjectAlternativeName, false, names);
        return new JcaX509CertificateConverter()
                .getCertificate(builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(key)));
    }

    X509Certificate certificate() {
        return certificate;
    }

    /** Issues a certificate for a name and writes it, its key and the authority's certificate into a folder. */
    TlsFiles issue(Path folder, String name, boolean requireClients) {
        try {
            KeyPair subjectKeys = newKeys();
            X509Certificate issued = sign(
                    new X500Name("CN=" + name),
                    subjectKeys,
                    keys.getPrivate(),
                    new X500Name(certificate.getSubjectX500Principal().getName()),
                    false);
            Path chain = folder.resolve("chain.pem");
            Path key = folder.resolve("key.pem");
            Path authority = folder.resolve("authority.pem");
            write(chain, issued);
            write(key, new JcaPKCS8Generator(subjectKeys.getPrivate(), null));
            write(authority, certificate);
            return new TlsFiles(chain, key, requireClients ? Optional.of(authority) : Optional.empty());
        } catch (GeneralSecurityException | OperatorCreationException | IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(Path path, Object content) throws IOException {
        try (Writer file = Files.newBufferedWriter(path);
                JcaPEMWriter pem = new JcaPEMWriter(file)) {
            pem.writeObject(content);
        }
    }
}
