package cedarrudder.forwarding;

/** Fetches the endpoint list; reports lists and failures to the forwarder. */
public interface EndpointDiscovery {

    /** Opens the watch for changes, or ends it. */
    void watch(boolean on);

    /** Requests the whole list once. */
    void fetchAll();
}
