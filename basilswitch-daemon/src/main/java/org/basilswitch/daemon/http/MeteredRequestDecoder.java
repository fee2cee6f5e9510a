package org.basilswitch.daemon.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Request decoder that knows how much memory it holds. It keeps the fields of a header or trailer until the last one has
 * arrived, lines until they are complete, and for the life of the connection a buffer as long as the longest line.
 */
final class MeteredRequestDecoder extends VertxHttpRequestDecoder {
    /** Name that Vert.x gives to the decoder of a connection. */
    static final String NAME = "httpDecoder";

    /** Memory of a field beside its text. */
    private static final int FIELD_BYTES = 192;
    /** Texts of fields are copied when lines are folded, and buffers grow by doubling. */
    private static final int COPIES = 2;

    private int partialFields;
    private long partialBytes;
    private long longestLineBytes;
    private boolean inHeader;
    private boolean inBody;

    private MeteredRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the decoder of a connection that has not read anything. */
    static MeteredRequestDecoder install(Channel channel, HttpServerOptions options) {
        MeteredRequestDecoder decoder = new MeteredRequestDecoder(options);
        channel.pipeline().replace(NAME, NAME, decoder);
        return decoder;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> messages) throws Exception {
        int startIndex = input.readerIndex();
        int messagesBefore = messages.size();
        super.decode(context, input, messages);
        long decodedBytes = input.readerIndex() - startIndex;
        if (messages.size() == messagesBefore) {
            partialBytes += decodedBytes;
        } else {
            decodedBytes -= contentBytes(messages.subList(messagesBefore, messages.size()));
            partialBytes = 0;
            partialFields = 0;
            inHeader = false;
            inBody = !(messages.get(messages.size() - 1) instanceof LastHttpContent);
        }
        longestLineBytes = Math.max(longestLineBytes, decodedBytes);
    }

    /**
     * Forgets an unfinished header when the connection has closed. It would be passed on as an invalid request and would
     * keep its fields in memory until the requests before it are answered, when nothing is charged for it any more.
     */
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        reset();
        // The reset takes effect with the next call.
        super.decode(context, Unpooled.EMPTY_BUFFER, new ArrayList<>());
        partialBytes = 0;
        partialFields = 0;
        inHeader = false;
        super.channelInactive(context);
    }

    private static int contentBytes(List<Object> messages) {
        return messages.stream()
                .mapToInt(message -> message instanceof HttpContent content
                        ? content.content().readableBytes()
                        : 0)
                .sum();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        inHeader = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        partialFields++;
        return super.splitHeaderName(line, start, length);
    }

    /** Returns whether a header has begun that is not complete yet. */
    boolean isInHeader() {
        return inHeader || !inBody && actualReadableBytes() > 0;
    }

    /** Returns whether a request's body or trailer is not complete yet. */
    boolean isInBody() {
        return inBody;
    }

    /**
     * Returns the memory that the decoder holds, as an estimate on the high side, bytes.
     *
     * @param readBufferBytes size of the buffers that hold what was received, bytes; the rest of a line keeps one of them
     */
    long heldBytes(int readBufferBytes) {
        int undecodedBytes = actualReadableBytes();
        return (long) FIELD_BYTES * partialFields
                + COPIES * (partialBytes + longestLineBytes + undecodedBytes)
                + (undecodedBytes > 0 ? readBufferBytes : 0);
    }
}
