package cedarrudder.lab.docs;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Free ports in place of those that examples name, which are 7000 to 7009, 7100 to 7109, 7200 to
 * 7209 and 9100 to 9109. Playgrounds that are used at once have an offset each.
 */
final class Ports {

    private static final int[] FIRST = {7000, 7100, 7200, 9100};
    private static final int EACH = 10;

    /** No offset takes a port to 32768, from which the kernel draws those of calls out. */
    private static final int HIGHEST = 23_000;

    private static final Pattern NAMED = Pattern.compile("(?<![\\d.])(7[0-2]|91)0\\d(?!\\d)");
    private static final Pattern NUMBER = Pattern.compile("(?<![\\d.])\\d{4,5}(?!\\d)");

    private static int next = 1000 + (int) (ProcessHandle.current().pid() % 200) * 100;

    private final int offset;

    Ports() {
        offset = free();
    }

    int offset() {
        return offset;
    }

    private static synchronized int free() {
        for (int tries = 0; tries < HIGHEST / EACH; tries++) {
            int offset = next;
            next = next + EACH < HIGHEST ? next + EACH : 1000;
            if (isFree(offset)) {
                return offset;
            }
        }
        throw new AssertionError("no free ports for the examples");
    }

    private static boolean isFree(int offset) {
        for (int first : FIRST) {
            for (int port = first + offset; port < first + offset + EACH; port++) {
                try {
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
                    new DatagramSocket(port, InetAddress.getLoopbackAddress()).close();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** The text with the ports that are used in place of those that it names. */
    String put(String text) {
        return NAMED.matcher(text)
                .replaceAll(m -> String.valueOf(Integer.parseInt(m.group()) + offset));
    }

    /** The text with the ports that the examples name in place of those used. */
    String takeBack(String text) {
        return NUMBER.matcher(text)
                .replaceAll(
                        m -> {
                            String named = String.valueOf(Integer.parseInt(m.group()) - offset);
                            return Matcher.quoteReplacement(
                                    NAMED.matcher(named).matches() ? named : m.group());
                        });
    }
}
