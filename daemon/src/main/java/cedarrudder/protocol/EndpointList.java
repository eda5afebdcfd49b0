package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One version of discovery's endpoint list: the full list, or only the changes.
 *
 * @param unread one problem for each entry that could not be read
 */
public record EndpointList(long version, boolean full, List<Node> nodes, List<String> unread) {

    /**
     * One endpoint: its id in discovery, and the address at which this proxy reaches it; null after
     * a removal.
     */
    public record Node(String name, Endpoint endpoint, InetSocketAddress address) {}
}
