package cedarrudder.forwarding;

/** Sends messages to the other replicas of the tier. */
public interface PeerTransport {

    /**
     * Sends a message, which may be lost.
     *
     * @param replica the number of the receiving replica; -1: all others
     */
    void send(int replica, byte[] message);
}
