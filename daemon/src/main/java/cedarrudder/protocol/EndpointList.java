package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Discovery's list of endpoints at some version, whole or only what changed.
 *
 * @param unread what is wrong with each entry that could not be read
 */
public record EndpointList(long version, boolean full, List<Node> nodes, List<String> unread) {

    /**
     * One endpoint: its id, as discovery lists it, and where this proxy reaches it (null: it is
     * gone).
     */
    public record Node(String name, Endpoint endpoint, InetSocketAddress address) {}
}
