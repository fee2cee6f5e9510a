package org.basilswitch.daemon.http;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.spi.transport.Transport;

/**
 * NIO transport whose listeners have a limited number of open connections. Connections are accepted on a thread of their
 * own, so that a busy event loop alone would not keep a crowd from taking all descriptors.
 */
public final class BoundedTransport implements io.vertx.core.transport.Transport {
    private static final int RELEASE_DELAY_MS = 10;

    private final int maxConnectionsPerListener;
    private final AtomicInteger unreported = new AtomicInteger();
    private volatile IntConsumer reporter = count -> {};

    private BoundedTransport(int maxConnectionsPerListener) {
        this.maxConnectionsPerListener = maxConnectionsPerListener;
    }

    /** Creates a transport; a listener closes further connections at once. */
    public static BoundedTransport create(int maxConnectionsPerListener) {
        return new BoundedTransport(maxConnectionsPerListener);
    }

    /**
     * Reports closed connections.
     *
     * @param nextReporter called on another thread with a number of closed connections, at most once until the last
     *     number was taken
     */
    public void reportTo(Runnable nextReporter) {
        reporter = before -> {
            if (before == 0) {
                nextReporter.run();
            }
        };
    }

    /** Returns the number of connections that were closed and not reported yet. */
    public int takeUnreported() {
        return unreported.getAndSet(0);
    }

    @Override
    public String name() {
        return "bounded-nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public Transport implementation() {
        return new NioTransport() {
            @Override
            public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
                return domainSocket ? super.serverChannelFactory(true) : BoundedServerChannel::new;
            }
        };
    }

    /** Listener that counts its open connections. */
    private final class BoundedServerChannel extends NioServerSocketChannel {
        private final AtomicInteger open = new AtomicInteger();

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            int count = super.doReadMessages(accepted);
            if (count <= 0) {
                return count;
            }
            Channel channel = (Channel) accepted.get(accepted.size() - 1);
            if (open.get() < maxConnectionsPerListener) {
                open.incrementAndGet();
                channel.closeFuture().addListener(ignored -> onClosed(channel));
            } else {
                accepted.remove(accepted.size() - 1);
                channel.unsafe().closeForcibly();
                reporter.accept(unreported.getAndIncrement());
            }
            return count;
        }

        /** A selector keeps the descriptor of a closed channel until it selects again, which matters when there are many. */
        private void onClosed(Channel channel) {
            if (open.get() > maxConnectionsPerListener / 2) {
                channel.eventLoop().schedule(open::decrementAndGet, RELEASE_DELAY_MS, TimeUnit.MILLISECONDS);
            } else {
                open.decrementAndGet();
            }
        }
    }
}
