package org.basilswitch.daemon.peer;

import java.util.function.Consumer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/** Splits a byte stream into frames, each with a 4-byte big-endian length before the payload. */
final class FrameReader implements Handler<Buffer> {
    static final int LENGTH_BYTES = 4;
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private final RecordParser parser;
    private final Consumer<byte[]> onFrame;
    private final Consumer<Integer> onInvalidLength;
    private boolean readingLength = true;
    private boolean invalid;

    private FrameReader(Consumer<byte[]> onFrame, Consumer<Integer> onInvalidLength) {
        this.onFrame = onFrame;
        this.onInvalidLength = onInvalidLength;
        this.parser = RecordParser.newFixed(LENGTH_BYTES, this::onRecord);
    }

    static FrameReader create(Consumer<byte[]> onFrame, Consumer<Integer> onInvalidLength) {
        return new FrameReader(onFrame, onInvalidLength);
    }

    static Buffer frame(byte[] payload) {
        return Buffer.buffer(LENGTH_BYTES + payload.length)
                .appendInt(payload.length)
                .appendBytes(payload);
    }

    @Override
    public void handle(Buffer chunk) {
        if (!invalid) {
            parser.handle(chunk);
        }
    }

    private void onRecord(Buffer bytes) {
        if (invalid) {
            return;
        }
        if (!readingLength) {
            readingLength = true;
            parser.fixedSizeMode(LENGTH_BYTES);
            onFrame.accept(bytes.getBytes());
            return;
        }
        int length = bytes.getInt(0);
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            invalid = true;
            onInvalidLength.accept(length);
            return;
        }
        readingLength = false;
        parser.fixedSizeMode(length);
    }
}
