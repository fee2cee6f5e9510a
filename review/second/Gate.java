package second;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.HashSet;
import java.util.Set;

/**
 * A TCP path between one process and one address that can be partitioned.
 *
 * <p>While it is cut, no byte passes in either direction. Bytes that were sent on a channel which is open at the cut are
 * held up and pass when the path is back, unless their sender has reset the channel, as DEPLOY.md says. Channels opened
 * during the cut carry nothing and are reset when it ends.
 */
final class Gate {
    private static final int RESET_CHECK_MS = 20;

    private final ServerSocket listener;
    private final int target;
    private final Set<Socket> deadSockets = new HashSet<>();
    private final Set<Socket> openSockets = new HashSet<>();
    private final Set<Socket> silentSockets = new HashSet<>();
    private boolean cut;
    private boolean down;

    Gate(int target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::acceptAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        deadSockets.forEach(Gate::reset);
        deadSockets.clear();
        notifyAll();
    }

    /** Resets all channels, and each new one until {@link #listenAgain}, as after the end of the process behind it. */
    synchronized void crash() {
        down = true;
        openSockets.forEach(Gate::reset);
        openSockets.clear();
    }

    synchronized void listenAgain() {
        down = false;
    }

    /** Has all open channels go silent for good, without a reset; new ones work. */
    synchronized int silence() {
        silentSockets.addAll(openSockets);
        return openSockets.size() / 2;
    }

    private synchronized boolean isSilent(Socket socket) {
        return silentSockets.contains(socket);
    }

    private synchronized boolean isCut() {
        return cut;
    }

    private synchronized void awaitOpen() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                synchronized (this) {
                    if (down) {
                        reset(client);
                        continue;
                    }
                    if (cut) {
                        deadSockets.add(client);
                        continue;
                    }
                }
                Socket server = new Socket("127.0.0.1", target);
                server.setTcpNoDelay(true);
                synchronized (this) {
                    openSockets.add(client);
                    openSockets.add(server);
                }
                Thread.ofVirtual().start(() -> pump(client, server));
                Thread.ofVirtual().start(() -> pump(server, client));
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (isCut()) {
                    awaitOpen();
                    if (count > 0) {
                        count = readHeldUp(from, in, buffer, count);
                    }
                }
                if (count < 0) {
                    if (!isSilent(from)) {
                        to.shutdownOutput();
                    }
                    return;
                }
                if (!isSilent(from)) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        } finally {
            forgetClosed();
        }
    }

    private synchronized void forgetClosed() {
        openSockets.removeIf(Socket::isClosed);
        silentSockets.removeIf(Socket::isClosed);
    }

    /** Reads what else was held up; throws when the sender has reset the channel, so that its bytes are lost. */
    private static int readHeldUp(Socket from, InputStream in, byte[] buffer, int count) throws IOException {
        int length = count;
        from.setSoTimeout(RESET_CHECK_MS);
        try {
            while (length < buffer.length) {
                int more = in.read(buffer, length, buffer.length - length);
                if (more < 0) {
                    return length;
                }
                length += more;
            }
        } catch (SocketTimeoutException e) {
            return length;
        } finally {
            from.setSoTimeout(0);
        }
        return length;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
