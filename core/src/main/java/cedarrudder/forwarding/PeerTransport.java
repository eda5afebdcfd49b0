package cedarrudder.forwarding;

/** The way to the other replicas of the tier. */
public interface PeerTransport {

    /** Sends a message to one of them by its number, or to all (-1). It may be lost. */
    void send(int replica, byte[] message);
}
