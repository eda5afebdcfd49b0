package cedarrudder.lab.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * A loopback address and a port that is nobody else's, whether something listens there or not. A
 * socket that is bound and doesn't listen keeps it: a connection is refused, another program that
 * chooses a port doesn't get it, and a server that asks for {@code SO_REUSEADDR}, as Java's do, may
 * listen there (Linux). This avoids a port being taken between its choice and its use.
 */
public final class Port implements AutoCloseable {

    private final SocketChannel holder;
    private final InetSocketAddress address;

    private Port(SocketChannel holder, InetSocketAddress address) {
        this.holder = holder;
        this.address = address;
    }

    /** Takes a port of this address. */
    public static Port hold(String host) throws IOException {
        SocketChannel holder = SocketChannel.open();
        try {
            holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            holder.bind(new InetSocketAddress(host, 0));
            return new Port(holder, (InetSocketAddress) holder.getLocalAddress());
        } catch (IOException e) {
            holder.close();
            throw e;
        }
    }

    /** Where it is. */
    public InetSocketAddress address() {
        return address;
    }

    /** As configuration and lists write it. */
    public String text() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() throws IOException {
        holder.close();
    }
}
