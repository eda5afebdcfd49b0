package cedarrudder.transport;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.channels.SocketChannel;

/**
 * Asks the kernel whether the peer of a socket has ended its stream, by poll(2).
 *
 * <p>Java has no public method for this: its selectors report an end of stream as readable input,
 * so unread bytes in front of it hide it. The class library's own {@code sun.nio.ch.Net} polls for
 * any events; the manifest of the jar opens that package. Where it is missing or not opened, and on
 * other systems than Linux, no end of stream is ever reported; nor is it after one was read that
 * had not been reported.
 */
final class SocketPolling {

    /** Linux's POLLERR, POLLHUP and POLLRDHUP. */
    private static final int DISCONNECT_EVENTS = 0x0008 | 0x0010 | 0x2000;

    /** Returned in place of a number of bytes. */
    static final int UNKNOWN = -1;

    /** Polls a descriptor without waiting; null if that is not available. */
    private static final Method POLL =
            find("sun.nio.ch.Net", "pollNow", FileDescriptor.class, int.class);

    private static final Method DESCRIPTOR = find("sun.nio.ch.SelChImpl", "getFD");

    /** Whether an end of stream was read that was not reported; written by the event loop alone. */
    private static volatile boolean isDisproved;

    private SocketPolling() {}

    private static Method find(String type, String name, Class<?>... parameters) {
        if (!System.getProperty("os.name").equals("Linux")) {
            return null;
        }
        try {
            Method method = Class.forName(type).getDeclaredMethod(name, parameters);
            method.setAccessible(true);
            return method;
        } catch (ReflectiveOperationException | RuntimeException e) {
            return null;
        }
    }

    /** Returns whether an end of stream that unread bytes hide can be detected. */
    static boolean isAvailable() {
        return POLL != null && DESCRIPTOR != null && !isDisproved;
    }

    /**
     * Checks that the end of a stream, which was just read, is reported; otherwise that a stream
     * has not ended is no longer concluded from reports.
     */
    static void checkAtEndOfStream(SocketChannel socket) {
        if (isAvailable() && !hasPeerDisconnected(socket)) {
            isDisproved = true;
        }
    }

    /**
     * Returns whether the end of the peer's stream or a reset has been received, whether or not
     * unread bytes are in front of it.
     */
    static boolean hasPeerDisconnected(SocketChannel socket) {
        if (!isAvailable()) {
            return false;
        }
        try {
            Object events = POLL.invoke(null, DESCRIPTOR.invoke(socket), DISCONNECT_EVENTS);
            return ((Integer) events & DISCONNECT_EVENTS) != 0;
        } catch (ReflectiveOperationException e) {
            return false; // the call failed: nothing is known
        }
    }

    /** Returns how many received bytes are unread; {@link #UNKNOWN} if the call fails. */
    static int unreadBytes(SocketChannel socket) {
        try {
            return socket.socket().getInputStream().available();
        } catch (IOException e) {
            return UNKNOWN;
        }
    }
}
