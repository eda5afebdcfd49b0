package cedarrudder.protocol;

import cedarrudder.Balancer.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;

/** Discovery's list of nodes at some version, whole or only what changed. */
public record ResolverResult(long version, boolean full, List<Node> nodes) {

    /** One node: its id, as discovery lists it, and where this proxy reaches it. */
    public record Node(String name, Endpoint endpoint, InetSocketAddress address) { }
}
