package cedarrudder.protocol;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parser for addresses as the configuration and discovery write them, such as {@code
 * 10.0.0.4:5000}.
 */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address without looking up names.
     *
     * @throws IllegalArgumentException if the text is not an address
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
            // rejected below, like every other text that is not an address
        }
        throw new IllegalArgumentException("'" + text + "' is not an address");
    }
}
