package org.basilswitch.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Passes received bytes to the HTTP decoder in slices, and none while the connection is not read from. Vert.x stops
 * reading when a request follows one that is not answered, but only after it has decoded all that a read returned, and
 * decoded requests take many times the bytes that were received.
 */
final class InboundGate extends ChannelDuplexHandler {
    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16_384;
    private static final int SLICE_BYTES = 4096;
    /** Decoded requests of the least size take up to this many times their bytes. */
    private static final int DECODED_REQUEST_BYTES_PER_BYTE = 32;

    private final GuardedConnection connection;
    private final MeteredRequestDecoder decoder;
    private ChannelHandlerContext context;
    private ByteBuf held;
    private boolean delivering;
    private boolean readRequested;

    private InboundGate(GuardedConnection connection, MeteredRequestDecoder decoder) {
        this.connection = connection;
        this.decoder = decoder;
    }

    /** Puts a gate in front of a connection's decoder and sets the size of its write queue. */
    static InboundGate install(
            HttpConnection http, HttpServerOptions options, GuardedConnection connection, int writeQueueBytes) {
        Channel channel = ((ConnectionBase) http).channel();
        // One read at a time: a connection with much to decode lets the others have their turns.
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .setWriteBufferWaterMark(new WriteBufferWaterMark(writeQueueBytes / 2, writeQueueBytes));
        MeteredRequestDecoder decoder = MeteredRequestDecoder.install(channel, options);
        InboundGate gate = new InboundGate(connection, decoder);
        channel.pipeline().addBefore(MeteredRequestDecoder.NAME, "inboundGate", gate);
        return gate;
    }

    /** Closes the connection without waiting for its caller to take the answers. */
    void close() {
        context.close();
    }

    /** Closes the connection after the present events, which write what is ready. */
    void closeSoon() {
        context.channel().eventLoop().execute(this::close);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        releaseHeld();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseHeld();
        ctx.fireChannelInactive();
    }

    private void releaseHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (connection.isShed() || !(message instanceof ByteBuf bytes)) {
            ReferenceCountUtil.release(message);
        } else if (held == null && !delivering && bytes.readableBytes() <= SLICE_BYTES) {
            ctx.fireChannelRead(bytes);
            connection.onDecoded(decoder.isInHeader());
        } else {
            hold(ctx, bytes);
            deliver(ctx);
        }
    }

    private void hold(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (held == null) {
            held = bytes;
            return;
        }
        ByteBuf joined = ctx.alloc().buffer(held.readableBytes() + bytes.readableBytes());
        joined.writeBytes(held).writeBytes(bytes);
        held.release();
        bytes.release();
        held = joined;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        updateHeld();
    }

    /** Called when Vert.x reads again, and before each read from the socket while it does. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        if (delivering) {
            readRequested = true;
            return;
        }
        deliver(ctx);
        if (held == null) {
            ctx.read();
        }
        updateHeld();
    }

    private void deliver(ChannelHandlerContext ctx) {
        if (delivering || held == null) {
            return;
        }
        delivering = true;
        while (held != null && ctx.channel().config().isAutoRead() && !connection.isShed()) {
            int length = Math.min(SLICE_BYTES, held.readableBytes());
            ByteBuf slice = held.readRetainedSlice(length);
            if (!held.isReadable()) {
                releaseHeld();
            }
            ctx.fireChannelRead(slice);
            ctx.fireChannelReadComplete();
            connection.onDecoded(decoder.isInHeader());
        }
        delivering = false;
        boolean reading = readRequested && held == null;
        readRequested = false;
        if (reading) {
            ctx.read();
        }
    }

    /** Tells what the connection holds of its input. */
    void updateHeld() {
        boolean blocked = held != null || !context.channel().config().isAutoRead();
        long bytes = decoder.heldBytes(MAX_READ_BYTES) + (held == null ? 0 : held.capacity());
        if (blocked) {
            bytes += (long) SLICE_BYTES * DECODED_REQUEST_BYTES_PER_BYTE;
        }
        connection.setInbound(blocked, bytes);
    }
}
