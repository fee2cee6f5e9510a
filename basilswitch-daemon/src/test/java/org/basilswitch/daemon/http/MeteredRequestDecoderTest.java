package org.basilswitch.daemon.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/** Holds the decoder of the HTTP library to what the charges of connections rely on. */
final class MeteredRequestDecoderTest {
    private static final int READ_BUFFER_BYTES = 16_384;
    private static final int FIELDS = 1000;
    private static final int LINE_BYTES = 10_000;
    /** Least memory of a header field: an entry and two strings. */
    private static final int FIELD_BYTES = 120;

    private static final String SHORT_FIELDS = "a: b\r\n".repeat(FIELDS);
    private static final String CHUNKED_HEADER = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

    private EmbeddedChannel channel;
    private MeteredRequestDecoder decoder;

    @BeforeMethod
    public void createChannel() {
        HttpServerOptions options =
                new HttpServerOptions().setMaxHeaderSize(READ_BUFFER_BYTES).setMaxInitialLineLength(READ_BUFFER_BYTES);
        channel = new EmbeddedChannel();
        channel.pipeline().addLast(MeteredRequestDecoder.NAME, new VertxHttpRequestDecoder(options));
        decoder = MeteredRequestDecoder.install(channel, options);
    }

    @AfterMethod
    public void closeChannel() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        channel.releaseInbound();
    }

    private long heldBytes() {
        return decoder.heldBytes(READ_BUFFER_BYTES);
    }

    @Test
    public void fieldsOfUnfinishedHeaderAreCounted() {
        receive("GET / HTTP/1.1\r\n" + SHORT_FIELDS);
        assertTrue(decoder.isInHeader());
        assertTrue(heldBytes() > FIELDS * FIELD_BYTES, "held " + heldBytes());
        long longValueBytes = heldBytes() + LINE_BYTES;
        receive("c: " + "v".repeat(LINE_BYTES) + "\r\n");
        assertTrue(heldBytes() > longValueBytes, "held " + heldBytes());
    }

    @Test
    public void fieldsOfUnfinishedTrailerAreCounted() {
        receive(CHUNKED_HEADER + "1\r\nx\r\n0\r\n" + SHORT_FIELDS);
        assertTrue(decoder.isInBody());
        assertFalse(decoder.isInHeader());
        assertTrue(heldBytes() > FIELDS * FIELD_BYTES, "held " + heldBytes());
        receive("\r\n");
        assertFalse(decoder.isInBody());
        assertTrue(heldBytes() < FIELDS * FIELD_BYTES, "held " + heldBytes());
    }

    /** Guards against a closed connection that keeps the fields of an unfinished header until earlier requests are answered. */
    @Test
    public void unfinishedHeaderIsForgottenWhenConnectionCloses() {
        receive("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\n" + SHORT_FIELDS);
        assertTrue(heldBytes() > FIELDS * FIELD_BYTES, "held " + heldBytes());
        channel.close();
        assertNull(channel.readInbound());
        assertTrue(heldBytes() < FIELDS * FIELD_BYTES, "held " + heldBytes());
    }

    @Test
    public void unfinishedLineKeepsItsReadBuffer() {
        receive(CHUNKED_HEADER + "1;" + "x".repeat(LINE_BYTES));
        assertTrue(decoder.isInBody());
        assertTrue(heldBytes() > READ_BUFFER_BYTES + LINE_BYTES, "held " + heldBytes());
    }

    /** The decoder keeps its buffer for lines after the request that needed it. */
    @Test
    public void longLineIsCountedForTheLifeOfTheConnection() {
        receive("GET /" + "x".repeat(3000) + " HTTP/1.1\r\nHost: a\r\n\r\n");
        receive("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assertFalse(decoder.isInHeader());
        assertTrue(heldBytes() >= 3000, "held " + heldBytes());
    }

    @Test
    public void connectionBetweenTwoRequestsHoldsLittle() {
        for (int i = 0; i < 1000; i++) {
            receive("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + "x".repeat(1000));
        }
        assertFalse(decoder.isInHeader());
        assertFalse(decoder.isInBody());
        assertTrue(heldBytes() < 500, "held " + heldBytes());
        receive("\r\n");
        assertFalse(decoder.isInHeader(), "an empty line before a request is no part of it");
    }

    /** The size of a header and of a trailer is limited, as the charges alone would let one connection take all memory. */
    @Test
    public void endlessTrailerIsRejected() {
        receive(CHUNKED_HEADER + "1\r\nx\r\n0\r\n" + "a: b\r\n".repeat(40_000));
        assertTrue(heldBytes() < 16_384 * FIELD_BYTES, "held " + heldBytes());
    }
}
