package kit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** A relay between a proxy and a node, which delays all bytes by the time of a network. */
public final class Relay {
    public final int port;
    private final int target;
    private final long delayNanos;

    private record Piece(byte[] bytes, long due) {}

    public Relay(int target, double delayMillis) throws IOException {
        this.target = target;
        this.delayNanos = (long) (delayMillis * 1e6);
        ServerSocket socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        port = socket.getLocalPort();
        Kit.go(
                () -> {
                    while (true) {
                        Socket caller = socket.accept();
                        Kit.go(() -> relay(caller));
                    }
                });
    }

    private void relay(Socket caller) throws IOException {
        Socket node = new Socket();
        try {
            node.connect(new InetSocketAddress("127.0.0.1", target), 1000);
        } catch (IOException e) {
            caller.close();
            throw e;
        }
        caller.setTcpNoDelay(true);
        node.setTcpNoDelay(true);
        pass(caller, node);
        pass(node, caller);
    }

    private void pass(Socket from, Socket to) {
        LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Kit.go(
                () -> {
                    InputStream in = from.getInputStream();
                    byte[] buffer = new byte[65536];
                    int count = 0;
                    while (count >= 0) {
                        try {
                            count = in.read(buffer);
                        } catch (IOException e) {
                            count = -1;
                        }
                        byte[] bytes = count < 0 ? null : java.util.Arrays.copyOf(buffer, count);
                        pieces.add(new Piece(bytes, System.nanoTime() + delayNanos));
                    }
                });
        Kit.go(
                () -> {
                    OutputStream out = to.getOutputStream();
                    while (true) {
                        Piece piece = pieces.take();
                        for (long left = piece.due - System.nanoTime(); left > 0; ) {
                            LockSupport.parkNanos(left);
                            left = piece.due - System.nanoTime();
                        }
                        if (piece.bytes == null) {
                            from.close();
                            to.close();
                            return;
                        }
                        out.write(piece.bytes);
                    }
                });
    }
}
