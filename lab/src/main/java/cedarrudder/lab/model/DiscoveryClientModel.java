package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import java.util.List;

/** Who calls discovery, or watches it. */
public interface DiscoveryClientModel {

    /** The tier whose nodes it asks for. */
    int tier();

    int zone();

    /** Whether it can still be told anything. */
    boolean alive();

    /** The version of the list up to which discovery has told it; 0: nothing. */
    long deliveredVersion();

    void deliveredVersion(long version);

    /**
     * Something of the list is on its way to it; messages keep their order.
     *
     * @param nodes where each entry's machine stands
     */
    void tellLater(EndpointListKind kind, List<Endpoint> entries, List<Node> nodes, long version);

    /** The news of a failed call, or of the end of a watch, is on its way to it. */
    void failLater();
}
