package cedarrudder.lab.emulator;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/** What is done to connections. */
final class Sockets {

    private Sockets() {}

    /** Resets a connection; without effect where it is closed. */
    static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
