package org.basilswitch.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;
import org.basilswitch.backpressure.ServiceQueue;

/**
 * Passes received bytes to the HTTP decoder in slices, each when the connection has its turn, and none while the
 * connection is not read from. Vert.x stops reading when a request follows one that is not answered, but only after it
 * has decoded all that a read returned, and decoded requests take many times the bytes that were received.
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
    private final ServiceQueue<InboundGate> decoding;
    private final ServiceQueue.Member<InboundGate> turns;
    private ChannelHandlerContext context;
    private ByteBuf held;
    private boolean receiving;
    private boolean decodingSlice;
    private boolean readRequested;
    /** Whether reading was stopped until the connection has its turn, and not by Vert.x. */
    private boolean stoppedForTurn;

    private InboundGate(
            GuardedConnection connection, MeteredRequestDecoder decoder, ServiceQueue<InboundGate> decoding) {
        this.connection = connection;
        this.decoder = decoder;
        this.decoding = decoding;
        this.turns = decoding.join(this);
    }

    /** Puts a gate in front of a connection's decoder and sets the size of its write queue. */
    static InboundGate install(
            HttpConnection http,
            HttpServerOptions options,
            GuardedConnection connection,
            int writeQueueBytes,
            ServiceQueue<InboundGate> decoding) {
        Channel channel = ((ConnectionBase) http).channel();
        // One read at a time: a connection with much to decode lets the others have their turns.
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .setWriteBufferWaterMark(new WriteBufferWaterMark(writeQueueBytes / 2, writeQueueBytes));
        MeteredRequestDecoder decoder = MeteredRequestDecoder.install(channel, options);
        InboundGate gate = new InboundGate(connection, decoder, decoding);
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

    /** Reads what has arrived up to now, without waiting for a turn, so that it is not lost when the connection closes. */
    void readNow() {
        Channel channel = context.channel();
        if (held == null && isRead() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        if (held != null) {
            decoding.leave(turns);
            if (decodeSlice()) {
                decoding.offer(turns);
            }
        }
    }

    /** Returns whether bytes were received that have not been decoded. */
    boolean hasUnread() {
        return held != null;
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
        decoding.leave(turns);
        if (held != null) {
            held.release();
            held = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (connection.isShed() || !(message instanceof ByteBuf bytes)) {
            ReferenceCountUtil.release(message);
            return;
        }
        receiving = true;
        hold(bytes);
        if (isRead()) {
            decoding.offer(turns);
        }
        if (turns.isWaiting() && ctx.channel().config().isAutoRead()) {
            stoppedForTurn = true;
            ctx.channel().config().setAutoRead(false);
        }
    }

    private void hold(ByteBuf bytes) {
        if (held == null) {
            held = bytes;
            return;
        }
        ByteBuf joined = context.alloc().buffer(held.readableBytes() + bytes.readableBytes());
        joined.writeBytes(held).writeBytes(bytes);
        held.release();
        bytes.release();
        held = joined;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        receiving = false;
        ctx.fireChannelReadComplete();
        updateHeld();
    }

    /** Called when Vert.x reads again, and before each read from the socket while it does. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        readRequested = true;
        if (decodingSlice) {
            return;
        }
        if (held != null) {
            decoding.offer(turns);
        }
        readIfDecoded();
        updateHeld();
    }

    private void readIfDecoded() {
        if (held == null && readRequested) {
            readRequested = false;
            context.read();
        }
    }

    /** Returns whether Vert.x reads from the connection. */
    private boolean isRead() {
        return stoppedForTurn || context.channel().config().isAutoRead();
    }

    /** Decodes a slice of the received bytes; returns whether more can follow. */
    boolean decodeSlice() {
        decodingSlice = true;
        if (stoppedForTurn) {
            stoppedForTurn = false;
            context.channel().config().setAutoRead(true);
        }
        if (held != null && isRead() && !connection.isShed()) {
            context.fireChannelRead(nextSlice());
            if (!receiving) {
                context.fireChannelReadComplete();
            }
            connection.onDecoded(decoder.isInHeader());
        }
        decodingSlice = false;
        if (isRead()) {
            readIfDecoded();
        }
        updateHeld();
        return held != null && isRead() && !connection.isShed();
    }

    private ByteBuf nextSlice() {
        if (held.readableBytes() > SLICE_BYTES) {
            return held.readRetainedSlice(SLICE_BYTES);
        }
        ByteBuf rest = held;
        held = null;
        return rest;
    }

    /** Tells what the connection holds of its input. */
    void updateHeld() {
        boolean blocked = !isRead();
        long bytes = decoder.heldBytes(MAX_READ_BYTES) + (held == null ? 0 : held.capacity());
        if (blocked) {
            bytes += (long) SLICE_BYTES * DECODED_REQUEST_BYTES_PER_BYTE;
        }
        connection.setInbound(blocked, turns.isWaiting(), bytes);
    }
}
