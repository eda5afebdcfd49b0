package cedarrudder.forwarding;

/** Discovery, as the forwarder sees it. Lists and failures are reported to the forwarder. */
public interface EndpointDiscovery {

    /** Opens the watch on changes, or ends it. */
    void watch(boolean on);

    /** Asks once for the whole list. */
    void fetchAll();
}
