package org.basilswitch.standin.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Callers that send the same bytes on many connections at once, read nothing and stay connected. */
public final class CallerCrowd implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final int RECEIVE_BUFFER_BYTES = 4096;
    private static final Duration PIECE_PAUSE = Duration.ofMillis(20);

    private static final int MAX_BODY_BYTES = 262_144;
    private static final int PIECE_BYTES = 4096;
    /** Less than a line may have. */
    private static final int LINE_BYTES = 16_000;

    private static final String SHORT_FIELD = "a: b\r\n";
    private static final String HOST = " HTTP/1.1\r\nHost: 127.0.0.1\r\n";

    /**
     * The server that a crowd connects to.
     *
     * @param address IP address and port of its callers' interface
     * @param path path that has a route
     * @param apiKey key that may use the route
     * @param body body of a request that is served
     */
    public record Target(String address, String path, String apiKey, String body) {
        private String post() {
            return "POST " + path + HOST + "Authorization: Bearer " + apiKey + "\r\n";
        }

        private String chunkedPost() {
            return post() + "Transfer-Encoding: chunked\r\n\r\n";
        }
    }

    /** What each caller of a crowd sends. */
    public enum Kind {
        /** A body of the largest legal size, sent whole, that stops one byte short. */
        LARGE_BODY,
        /** The same body, sent piece by piece. */
        LARGE_BODY_IN_PIECES,
        /** A chunked body of one large chunk without a last chunk. */
        LARGE_CHUNK,
        /** A chunked body of one-byte chunks without a last chunk. */
        SMALL_CHUNKS,
        /** Requests sent ahead at a path without a route. */
        REQUESTS_AHEAD,
        /** Requests sent ahead at a path that has a route. */
        ROUTED_REQUESTS_AHEAD,
        /** A chunked body with its last chunk, whose trailer fields do not end. */
        TRAILERS,
        /** A chunked body whose first chunk's size line does not end. */
        CHUNK_EXTENSION,
        /** A whole submission, and behind it the header of another request that does not end. */
        HEADER_BEHIND_REQUEST;

        /**
         * Returns the bytes that a caller sends.
         *
         * @param count number of small chunks, requests or fields
         */
        private byte[] bytes(Target target, int count) throws IOException {
            byte[] body = new byte[MAX_BODY_BYTES - 1];
            String post = target.post();
            String chunked = target.chunkedPost();
            return switch (this) {
                case LARGE_BODY, LARGE_BODY_IN_PIECES ->
                    join(post + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n", body, "");
                case LARGE_CHUNK -> join(chunked + Integer.toHexString(body.length) + "\r\n", body, "\r\n");
                case SMALL_CHUNKS -> ascii(chunked + "1\r\nx\r\n".repeat(count));
                case REQUESTS_AHEAD -> ascii(("GET /none/x" + HOST + "\r\n").repeat(count));
                case ROUTED_REQUESTS_AHEAD -> ascii(("GET " + target.path() + HOST + "\r\n").repeat(count));
                case TRAILERS -> ascii(chunked + "1\r\nx\r\n0\r\n" + SHORT_FIELD.repeat(count));
                case CHUNK_EXTENSION -> ascii(chunked + "1;" + "x".repeat(LINE_BYTES));
                case HEADER_BEHIND_REQUEST -> {
                    String request = post + "Content-Length: " + target.body().length() + "\r\n\r\n" + target.body();
                    yield ascii(request + post + SHORT_FIELD.repeat(count));
                }
            };
        }

        private static byte[] join(String start, byte[] content, String end) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(ascii(start));
            bytes.write(content);
            bytes.write(ascii(end));
            return bytes.toByteArray();
        }

        private static byte[] ascii(String text) {
            return text.getBytes(StandardCharsets.US_ASCII);
        }
    }

    private final InetSocketAddress address;
    private final byte[] bytes;
    private final int pieceBytes;
    private final List<Thread> threads = new ArrayList<>();
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    private CallerCrowd(String address, byte[] bytes, int pieceBytes) {
        int colon = address.lastIndexOf(':');
        this.address =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        this.bytes = bytes;
        this.pieceBytes = pieceBytes;
    }

    /**
     * Starts a crowd.
     *
     * @param connections number of connections
     * @param count number of small chunks, requests or fields that each connection sends
     */
    public static CallerCrowd start(Target target, int connections, Kind kind, int count) throws IOException {
        byte[] bytes = kind.bytes(target, count);
        CallerCrowd crowd = new CallerCrowd(
                target.address(), bytes, kind == Kind.LARGE_BODY_IN_PIECES ? PIECE_BYTES : bytes.length);
        for (int i = 0; i < connections; i++) {
            crowd.threads.add(Thread.ofVirtual().start(crowd::send));
        }
        return crowd;
    }

    private void send() {
        try {
            Socket socket = new Socket();
            sockets.add(socket);
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(address, CONNECT_TIMEOUT_MS);
            OutputStream output = socket.getOutputStream();
            for (int sent = 0; sent < bytes.length; sent += pieceBytes) {
                output.write(bytes, sent, Math.min(pieceBytes, bytes.length - sent));
                if (pieceBytes < bytes.length) {
                    Thread.sleep(PIECE_PAUSE);
                }
            }
        } catch (IOException e) {
            // The process refused or closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until each connection has sent everything or was closed; connections that are not read wait in vain. */
    public void awaitSent(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        for (Thread thread : threads) {
            thread.join(Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime())));
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
    }
}
