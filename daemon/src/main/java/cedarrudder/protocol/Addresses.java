package cedarrudder.protocol;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as the configuration and discovery write them, {@code 10.0.0.4:5000}. */
public final class Addresses {

    private Addresses() {}

    /**
     * Reads an address; an IllegalArgumentException says what is wrong with it. Names are not
     * looked up.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port >= 0) {
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (IllegalArgumentException | UnknownHostException e) {
            // answered below, like every other text that is no address
        }
        throw new IllegalArgumentException("'" + text + "' is not an address");
    }
}
